// An entry host on the platform: one control thread with what the host believes, and one traffic
// thread with what callers and targets exchange.
#pragma once

#include <memory>

#include "logging/bounded_output.h"
#include "settings/edge_settings.h"

namespace mangonotch::app {

class EdgeHost {
 public:
  /// Binds all addresses; throws base::Error when it cannot. `settings_path` is read again when the
  /// file changes. `log` is flushed from the control thread; it must outlive the host.
  EdgeHost(const settings::EdgeSettings& settings, std::string settings_path,
           logging::BoundedOutput& log);
  ~EdgeHost();

  /// Serves until SIGTERM or SIGINT has come and the requests under way are answered. The calling
  /// thread becomes the control thread.
  void Run();

 private:
  class Control;
  std::unique_ptr<Control> control_;
};

}  // namespace mangonotch::app
