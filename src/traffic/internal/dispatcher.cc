// Implementation of traffic::Dispatcher.
#include "traffic/dispatcher.h"

#include <algorithm>
#include <array>
#include <optional>
#include <random>

#include "http/clock.h"
#include "retry/safe_to_repeat.h"

namespace mangonotch::traffic {
namespace {

// A connect that takes longer fails over to another target; a worker takes about 1 ms per new
// connection and the longest way between two regions is 110 ms there and back.
constexpr base::Duration kConnectTimeout = base::Duration::Milliseconds(500);
constexpr std::size_t kMaxAttempts = 3;
constexpr unsigned kShedStatus = 503;
/// The ramp of moved work grows by points a minute, so an earlier repeat would meet the same cap.
constexpr base::Duration kMoveRetry = base::Duration::Seconds(5);
/// Longest time that a request holds its slot while the link to the target's region has no bytes
/// left.
constexpr base::Duration kLinkWait = base::Duration::Milliseconds(200);

/// Gives a place of moved work back; does nothing for null.
class ReleaseOnExit {
 public:
  explicit ReleaseOnExit(ServiceGate* gate) : gate_(gate) {}
  ReleaseOnExit(const ReleaseOnExit&) = delete;
  ReleaseOnExit& operator=(const ReleaseOnExit&) = delete;
  ~ReleaseOnExit() {
    if (gate_ != nullptr) gate_->ReleaseMoved();
  }

 private:
  ServiceGate* gate_;
};

constexpr std::array<std::string_view, 6> kOwnHeaders = {"Host",           "Deadline-Ms",
                                                         "Request-Id",     "Idempotency-Ticket",
                                                         "Content-Length", "Mangonotch-Forwarded"};

bool IsOwnHeader(std::string_view name) {
  return std::any_of(kOwnHeaders.begin(), kOwnHeaders.end(),
                     [&](std::string_view it) { return http::EqualsIgnoreCase(it, name); });
}

std::uint64_t RandomPrefix() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string Hex(std::uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = text.size(); i > 0; --i, value >>= 4) text[i - 1] = kDigits[value & 15];
  return text;
}

RefusalReason ToReason(admission::RefusalReason reason) {
  switch (reason) {
    case admission::RefusalReason::kDeadlinePassed:
      return RefusalReason::kDeadlinePassed;
    case admission::RefusalReason::kExpectedWaitTooLong:
      return RefusalReason::kExpectedWait;
    case admission::RefusalReason::kQueueFull:
      return RefusalReason::kQueueFull;
    case admission::RefusalReason::kNoTarget:
      return RefusalReason::kNoTarget;
  }
  return RefusalReason::kNoTarget;
}

}  // namespace

/// One try at one target.
struct Dispatcher::Attempt {
  std::optional<http::Response> response;
  bool bytes_written = false;
  bool is_cancelled = false;
  admission::Result result = admission::Result::kFailed;
  RefusalReason reason = RefusalReason::kTargetsFailed;
  RetryReason retry_reason = RetryReason::kFailed;
  base::TargetKey target;
};

Dispatcher::Dispatcher(std::string region, GateSet& gates, LinkBudgets& links, Counters& counters,
                       ControlHooks hooks)
    : region_(std::move(region)),
      gates_(gates),
      links_(links),
      counters_(counters),
      hooks_(std::move(hooks)),
      id_prefix_(RandomPrefix()) {}

std::string Dispatcher::NextRequestId() {
  return Hex(id_prefix_) + "-" + std::to_string(next_id_.fetch_add(1, std::memory_order_relaxed));
}

retry::Budget& Dispatcher::BudgetOf(base::ServiceIndex service, base::Instant now) {
  return budgets_.try_emplace(service.value, retry::BudgetSettings{}, now).first->second;
}

void Dispatcher::CountRequest(base::ServiceIndex service, base::Instant now) {
  const std::lock_guard lock(budget_mutex_);
  BudgetOf(service, now).OnRequest(now);
}

bool Dispatcher::MayRetry(base::ServiceIndex service, base::Instant now) {
  const std::lock_guard lock(budget_mutex_);
  return BudgetOf(service, now).TryRetry(now);
}

Served Dispatcher::Run(const control::SteeringTable& table, const RequestPlan& plan,
                       const http::Request& request, const TicketHooks& ticket) {
  const auto gate = gates_.Find(table.ServiceAt(plan.service).key);
  if (!gate) return Served::Refused(Outcome::kNotRun, RefusalReason::kNoTable, 503);
  CountRequest(plan.service, http::Now());
  const auto own = table.FindRegion(region_);
  const auto regions = table.PreferencesOf(plan.service, plan.home);
  if (!own || plan.home == *own) return RunAttempts(table, plan, request, ticket, *gate, regions);

  // Work of a caller from another region uses this region only within the cap on moved work.
  const bool is_reserved = gate->TryReserveMoved();
  std::vector<admission::RegionPreference> allowed(regions.begin(), regions.end());
  if (!is_reserved) std::erase_if(allowed, [&](const auto& it) { return it.region == *own; });
  const ReleaseOnExit release(is_reserved ? gate.get() : nullptr);
  if (allowed.empty()) {
    return Served::Refused(Outcome::kNotRun, RefusalReason::kMoveCap, 503, kMoveRetry);
  }
  return RunAttempts(table, plan, request, ticket, *gate, allowed);
}

AcquireResult Dispatcher::Acquire(const RequestPlan& plan, const http::Request& request,
                                  ServiceGate& gate,
                                  std::span<const admission::RegionPreference> regions,
                                  std::span<const base::TargetKey> excluded) {
  const admission::Request wanted{.work_class = plan.work_class,
                                  .deadline = plan.deadline,
                                  .regions = regions,
                                  .excluded = excluded};
  return gate.Acquire(
      wanted, [&] { return request.CallerGone(); }, hooks_.on_wait);
}

Served Dispatcher::RunAttempts(const control::SteeringTable& table, const RequestPlan& plan,
                               const http::Request& request, const TicketHooks& ticket,
                               ServiceGate& gate,
                               std::span<const admission::RegionPreference> regions) {
  std::vector<base::TargetKey> excluded;
  const bool is_ticketed = static_cast<bool>(ticket.mark_dispatched);
  Outcome worst = Outcome::kNotRun;
  for (;;) {
    const AcquireResult acquired = Acquire(plan, request, gate, regions, excluded);
    if (std::holds_alternative<CallerGone>(acquired)) {
      return Served::Refused(worst, RefusalReason::kCallerGone, 503);
    }
    if (const auto* it = std::get_if<admission::Refused>(&acquired)) {
      return Served::Refused(worst, ToReason(it->reason), 503, it->retry_after);
    }
    const auto& admitted = std::get<admission::Admitted>(acquired);
    Attempt attempt = Send(table, plan, request, ticket, gate, admitted);
    if (attempt.response) return Served::Answered(std::move(*attempt.response));
    // A shed request was refused by its target before it ran; any other that was written may have
    // run, also an idempotent one.
    const bool is_shed = !attempt.is_cancelled && attempt.retry_reason == RetryReason::kShed;
    if (attempt.bytes_written && !is_shed) worst = Outcome::kUnknown;
    if (attempt.is_cancelled) return Served::Refused(worst, RefusalReason::kCallerGone, 503);

    const bool is_safe = retry::IsSafeToRepeat({.is_idempotent = plan.is_idempotent,
                                                .is_ticketed = is_ticketed,
                                                .bytes_written = attempt.bytes_written ? 1U : 0U});
    if (!is_safe) return Served::Refused(worst, attempt.reason, 504);
    excluded.push_back(attempt.target);
    if (excluded.size() >= kMaxAttempts || http::Now() >= plan.deadline) {
      return Served::Refused(worst, attempt.reason, 502, base::Duration::Seconds(1));
    }
    if (!MayRetry(plan.service, http::Now())) {
      return Served::Refused(worst, RefusalReason::kRetryBudget, 503, base::Duration::Seconds(1));
    }
    counters_.retries.Add(attempt.retry_reason);
  }
}

Dispatcher::Attempt Dispatcher::Send(const control::SteeringTable& table, const RequestPlan& plan,
                                     const http::Request& request, const TicketHooks& ticket,
                                     ServiceGate& gate, const admission::Admitted& admitted) {
  const control::TargetPlace* place = table.FindTarget(admitted.target);
  const base::Instant started = http::Now();
  const std::string request_id = NextRequestId();
  const std::string deadline_ms = std::to_string((plan.deadline - started).milliseconds());
  std::vector<http::HeaderView> headers = {{"Request-Id", request_id},
                                           {"Deadline-Ms", deadline_ms}};
  for (const http::HeaderView& it : request.headers) {
    if (!IsOwnHeader(it.name) && !http::IsConnectionHeader(it.name)) headers.push_back(it);
  }
  http::ExecuteOptions options;
  options.connection =
      plan.is_idempotent ? http::ConnectionUse::kKeptAlive : http::ConnectionUse::kFresh;
  options.max_body_bytes = kMaxAnswerBytes;
  options.connect_deadline = started + kConnectTimeout;
  options.cancel_socket = request.caller_socket();
  options.before_write = [&] {
    if (gate.Recheck(admitted.slot) != admission::RecheckResult::kInForce) return false;
    return !ticket.mark_dispatched || ticket.mark_dispatched(plan.deadline);
  };

  Attempt attempt;
  attempt.target = admitted.target;
  counters_.attempts.Add();
  try {
    if (place == nullptr) throw http::ClientError(http::Failure::kVetoed, false, "", "target gone");
    if (!links_.WaitToSend(table, place->region, request.body.size(), started + kLinkWait)) {
      throw http::ClientError(http::Failure::kVetoed, false, place->address, "link budget used up");
    }
    attempt.response = client_.Execute(http::Endpoint::Parse(place->address),
                                       {.method = request.method,
                                        .target = plan.target_path,
                                        .headers = headers,
                                        .body = request.body},
                                       plan.deadline, options);
    attempt.bytes_written = true;
    attempt.result = admission::Result::kAnswered;
    links_.CountAnswer(table, place->region, attempt.response->body.size());
    Judge(plan, request_id, attempt);
  } catch (const http::ClientError& ex) {
    attempt.bytes_written = ex.bytes_written();
    attempt.is_cancelled = ex.failure() == http::Failure::kCancelled;
    attempt.retry_reason = ex.bytes_written() ? RetryReason::kFailed : RetryReason::kNotSent;
    attempt.reason =
        ex.bytes_written() ? RefusalReason::kOutcomeUnknown : RefusalReason::kTargetsFailed;
    if (attempt.is_cancelled) attempt.result = admission::Result::kCancelled;
    if (ex.failure() == http::Failure::kVetoed) attempt.result = admission::Result::kNotSent;
  }
  gate.Complete(admitted.slot, {.latency = http::Now() - started, .result = attempt.result});
  return attempt;
}

/// Looks at a whole answer: whether it belongs to this request, whether the target is leaving, and
/// whether another target should get the request instead.
void Dispatcher::Judge(const RequestPlan& plan, const std::string& request_id, Attempt& attempt) {
  if (attempt.response->headers.Find("Draining")) hooks_.on_draining(attempt.target);
  const auto echoed = attempt.response->headers.Find("Request-Id");
  if (echoed && *echoed != request_id) {
    attempt.response.reset();
    attempt.result = admission::Result::kFailed;
    attempt.reason = RefusalReason::kMismatchedAnswer;
    return;
  }
  if (attempt.response->status == kShedStatus && plan.is_idempotent) {
    attempt.response.reset();
    attempt.result = admission::Result::kFailed;
    attempt.retry_reason = RetryReason::kShed;
  }
}

}  // namespace mangonotch::traffic
