// The gate of one service, shared by the traffic threads and the control thread: a mutex round the
// core gate, and the threads that wait for a slot.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <unordered_map>
#include <variant>

#include "admission/gate.h"
#include "base/instant.h"
#include "placement/weighted_two_choices.h"
#include "shift/move_cap.h"

namespace mangonotch::traffic {

/// The caller closed its connection before a slot was free.
struct CallerGone {};
using AcquireResult = std::variant<admission::Admitted, admission::Refused, CallerGone>;

class ServiceGate {
 public:
  using Gate = admission::Gate<placement::WeightedTwoChoices>;

  explicit ServiceGate(const Gate::Settings& settings) : gate_(settings) {}

  /// Blocks until the request has a slot, is refused, or `is_caller_gone` returns true. `on_wait`
  /// is called once, with the gate unlocked, when the request has to wait.
  AcquireResult Acquire(const admission::Request& request,
                        const std::function<bool()>& is_caller_gone,
                        const std::function<void()>& on_wait);
  /// Takes a place of the work that this host may serve in its own region for callers of other
  /// regions; false when there is none. Every place taken must be released.
  bool TryReserveMoved();
  void ReleaseMoved();
  /// Places granted to this host until `deadline`; `limits` is the ramp of their use.
  void SetMovedPlaces(std::uint16_t places, base::Instant deadline,
                      const shift::MoveLimits& limits);
  struct MovedUse {
    std::uint16_t in_flight = 0;
    /// Places that requests could use beyond those in flight.
    std::uint16_t wanted = 0;
  };
  MovedUse moved_use();

  void Complete(admission::Slot slot, const admission::Outcome& outcome);
  admission::RecheckResult Recheck(admission::Slot slot);

  /// Runs `change(gate, now)` under the lock, then wakes the waiters that it set free.
  template <typename Change>
  auto Update(Change change) {
    const std::lock_guard lock(mutex_);
    const base::Instant now = Now();
    if constexpr (std::is_void_v<decltype(change(gate_, now))>) {
      change(gate_, now);
      Deliver(now);
    } else {
      auto result = change(gate_, now);
      Deliver(now);
      return result;
    }
  }

 private:
  struct Waiter {
    std::condition_variable wake;
    std::optional<std::variant<admission::Admitted, admission::Refused>> result;
  };

  static base::Instant Now();
  /// Hands their results to the waiters that are ready. The lock is held.
  void Deliver(base::Instant now);

  std::mutex mutex_;
  // All below are guarded by mutex_.
  Gate gate_;
  shift::MoveCap moved_;
  std::uint16_t moved_places_ = 0;
  base::Instant moved_deadline_;
  std::uint16_t moved_in_flight_ = 0;
  /// Callers of other regions came lately; places are asked for until then.
  base::Instant moved_wanted_until_;
  /// Threads that wait, by the gate's identifier; each entry lives on its thread's stack.
  std::unordered_map<admission::WaiterId, Waiter*> waiters_;
};

}  // namespace mangonotch::traffic
