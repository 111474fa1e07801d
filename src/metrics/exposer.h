// Serves a registry over HTTP at /metrics.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "metrics/registry.h"

namespace prometheus {
class Exposer;
}  // namespace prometheus

namespace mangonotch::metrics {

class Exposer {
 public:
  /// Binds `address` (ip:port; port 0 selects a free port). Throws base::Error when that fails.
  Exposer(const Registry& registry, const std::string& address);
  ~Exposer();
  Exposer(const Exposer&) = delete;
  Exposer& operator=(const Exposer&) = delete;

  std::uint16_t port() const { return port_; }

 private:
  std::unique_ptr<prometheus::Exposer> exposer_;
  std::uint16_t port_ = 0;
};

}  // namespace mangonotch::metrics
