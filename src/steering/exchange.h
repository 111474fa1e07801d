// The state of one request between its arrival and its answer.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "steering/attempt.h"
#include "steering/target_state.h"

namespace mangonotch::steering {

class ServiceState;

/// One sending of the request to a target.
struct Attempt {
  AttemptNumber number = 0;
  std::shared_ptr<TargetState> target{};
  base::Instant sent_at{};
  /// Position of the target by affinity.
  std::uint32_t rank = 0;
  /// The target had a free slot, as far as known.
  bool had_free_slot = false;
  /// Neither an outcome came nor was the attempt cancelled.
  bool is_open = true;
  /// An arrival at the target that counts towards the route's bound on attempts.
  bool has_arrived = true;
};

struct Exchange {
  ExchangeId id = 0;
  /// Keeps `route` alive; the configuration in force when the request arrived.
  std::shared_ptr<const catalog::Configuration> configuration;
  /// Null when no route allows the request.
  const catalog::Route* route = nullptr;
  ServiceState* service = nullptr;
  std::uint64_t affinity_key = 0;
  base::Instant arrived_at;
  /// The earlier of the caller's deadline and the end of the route's time-out.
  base::Instant deadline;
  std::vector<Attempt> attempts;
  /// In the wait queue of its service.
  bool is_waiting = false;
  bool is_caller_gone = false;
  /// Some attempt ended without proof that the request did not run.
  bool may_have_run = false;
  /// Key of the entry in the engine's timers.
  base::Instant timer_at;

  std::uint32_t OpenAttempts() const {
    std::uint32_t n = 0;
    for (const Attempt& it : attempts) n += it.is_open ? 1 : 0;
    return n;
  }
  std::uint32_t Arrivals() const {
    std::uint32_t n = 0;
    for (const Attempt& it : attempts) n += it.has_arrived ? 1 : 0;
    return n;
  }
  Attempt* Find(AttemptNumber number) {
    for (Attempt& it : attempts) {
      if (it.number == number) return &it;
    }
    return nullptr;
  }
};

}  // namespace mangonotch::steering
