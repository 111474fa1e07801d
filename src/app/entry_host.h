// The entry host that `mangonotch serve` runs: starts and stops all of its components in order.
#pragma once

#include <memory>

#include "settings/host_settings.h"

namespace mangonotch::app {

class EntryHost {
 public:
  /// Binds all addresses and starts serving. Throws base::Error when an address cannot be bound.
  explicit EntryHost(const settings::HostSettings& settings);
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;
  ~EntryHost();

  /// Shuts down gracefully: withdraws the host from lookups, serves until cached lookup responses
  /// and issued tickets have expired, completes the requests in flight, then returns.
  void Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangonotch::app
