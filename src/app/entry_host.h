// One running entry host: every part of `mangonotch serve`, started and stopped in order.
#pragma once

#include <memory>

#include "settings/host_settings.h"

namespace mangonotch::app {

class EntryHost {
 public:
  /// Binds all addresses and starts. Throws base::Error when one cannot be bound.
  explicit EntryHost(const settings::HostSettings& settings);
  EntryHost(const EntryHost&) = delete;
  EntryHost& operator=(const EntryHost&) = delete;
  ~EntryHost();

  /// Planned stop: leaves look-ups, serves until cached look-ups and tickets have run out, finishes
  /// the requests in flight, then returns.
  void Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangonotch::app
