// An entry host on the platform: a control thread for membership, discovery and settings, and a
// traffic thread for the requests between callers and targets.
#pragma once

#include <memory>

#include "logging/bounded_output.h"
#include "settings/edge_settings.h"

namespace mangonotch::app {

class EdgeHost {
 public:
  /// Binds all addresses; throws base::Error when one cannot be bound. Reloads `settings_path` when
  /// the file changes. `log` is flushed by the control thread; it must outlive the host.
  EdgeHost(const settings::EdgeSettings& settings, std::string settings_path,
           logging::BoundedOutput& log);
  ~EdgeHost();

  /// Serves until SIGTERM or SIGINT, then returns once the requests in flight are complete or the
  /// stop time is almost over. The calling thread becomes the control thread.
  void Run();

 private:
  class Control;
  std::unique_ptr<Control> control_;
};

}  // namespace mangonotch::app
