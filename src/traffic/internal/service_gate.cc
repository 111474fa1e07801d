// Implementation of traffic::ServiceGate.
#include "traffic/service_gate.h"

#include <algorithm>
#include <chrono>

#include "http/clock.h"

namespace mangonotch::traffic {
namespace {

// How often a waiting thread looks whether its caller is gone. A caller that leaves gives its place
// in the queue back within this time.
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(50);

/// Callers that keep coming renew their interest with each request.
constexpr base::Duration kMovedInterest = base::Duration::Seconds(5);
/// Places asked for beyond those in use while callers of other regions come.
constexpr std::uint16_t kMovedHeadroom = 2;

AcquireResult Widen(const std::variant<admission::Admitted, admission::Refused>& result) {
  return std::visit([](const auto& it) { return AcquireResult(it); }, result);
}

}  // namespace

base::Instant ServiceGate::Now() { return http::Now(); }

AcquireResult ServiceGate::Acquire(const admission::Request& request,
                                   const std::function<bool()>& is_caller_gone,
                                   const std::function<void()>& on_wait) {
  std::unique_lock lock(mutex_);
  const admission::Decision decision = gate_.Admit(request, Now());
  if (const auto* it = std::get_if<admission::Admitted>(&decision)) return *it;
  if (const auto* it = std::get_if<admission::Refused>(&decision)) return *it;

  const admission::WaiterId id = std::get<admission::Waiting>(decision).waiter;
  Waiter waiter;
  waiters_.emplace(id, &waiter);
  lock.unlock();
  on_wait();
  lock.lock();
  while (!waiter.result) {
    waiter.wake.wait_for(lock, kCallerCheckInterval);
    if (waiter.result) break;
    if (is_caller_gone()) {
      gate_.Cancel(id);
      waiters_.erase(id);
      return CallerGone{};
    }
    Deliver(Now());
  }
  waiters_.erase(id);
  return Widen(*waiter.result);
}

bool ServiceGate::TryReserveMoved() {
  const std::lock_guard lock(mutex_);
  const base::Instant now = Now();
  moved_wanted_until_ = now + kMovedInterest;
  const std::uint32_t granted = now < moved_deadline_ ? moved_places_ : 0;
  if (moved_in_flight_ >= std::min(granted, moved_.Allowed(moved_in_flight_, now))) return false;
  ++moved_in_flight_;
  return true;
}

void ServiceGate::ReleaseMoved() {
  const std::lock_guard lock(mutex_);
  --moved_in_flight_;
}

void ServiceGate::SetMovedPlaces(std::uint16_t places, base::Instant deadline,
                                 const shift::MoveLimits& limits) {
  const std::lock_guard lock(mutex_);
  moved_places_ = places;
  moved_deadline_ = deadline;
  moved_.SetLimits(limits, Now());
}

ServiceGate::MovedUse ServiceGate::moved_use() {
  const std::lock_guard lock(mutex_);
  const bool is_wanted = Now() < moved_wanted_until_;
  return {moved_in_flight_, is_wanted ? kMovedHeadroom : std::uint16_t{0}};
}

void ServiceGate::Complete(admission::Slot slot, const admission::Outcome& outcome) {
  const std::lock_guard lock(mutex_);
  const base::Instant now = Now();
  gate_.Complete(slot, outcome, now);
  Deliver(now);
}

admission::RecheckResult ServiceGate::Recheck(admission::Slot slot) {
  const std::lock_guard lock(mutex_);
  return gate_.Recheck(slot, Now());
}

void ServiceGate::Deliver(base::Instant now) {
  for (const admission::Ready& ready : gate_.TakeReady(now)) {
    const auto it = waiters_.find(ready.waiter);
    if (it == waiters_.end()) continue;
    it->second->result = ready.result;
    it->second->wake.notify_one();
  }
}

}  // namespace mangonotch::traffic
