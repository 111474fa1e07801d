// Wraps prometheus-cpp's exposer.
#include "metrics/exposer.h"

#include <prometheus/exposer.h>
#include <prometheus/registry.h>

#include <exception>

#include "base/error.h"

namespace mangonotch::metrics {

// One scrape at a time is enough; the second thread serves requests while a slow reader blocks the
// first.
constexpr std::size_t kThreads = 2;

Exposer::Exposer(const Registry& registry, const std::string& address) {
  try {
    exposer_ = std::make_unique<prometheus::Exposer>(address, kThreads);
    exposer_->RegisterCollectable(registry.native());
    port_ = static_cast<std::uint16_t>(exposer_->GetListeningPorts().at(0));
  } catch (const std::exception& ex) {
    throw base::Error("serve metrics", address, ex.what());
  }
}

Exposer::~Exposer() = default;

}  // namespace mangonotch::metrics
