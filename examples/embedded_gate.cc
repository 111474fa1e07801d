// Embeds admission, placement and retry without the daemon: passes a few requests through a gate
// and prints each decision. No request is sent; the times and the results of requests are fixed
// here, where a real program would read its clock and receive responses from its targets.
#include <array>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "admission/gate.h"
#include "placement/weighted_two_choices.h"
#include "retry/budget.h"
#include "retry/safe_to_repeat.h"

namespace {

namespace admission = mangonotch::admission;
namespace base = mangonotch::base;
namespace retry = mangonotch::retry;

using Gate = admission::Gate<mangonotch::placement::WeightedTwoChoices>;

constexpr std::array kRegions = {admission::RegionPreference{{0}, 1}};
constexpr std::array kTargets = {admission::Target{{1}, {0}, {0}, 1},
                                 admission::Target{{2}, {0}, {1}, 1}};

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

admission::Request MakeRequest(base::Instant deadline,
                               std::span<const base::TargetKey> excluded = {}) {
  return {.work_class = base::WorkClass::kShort,
          .deadline = deadline,
          .regions = kRegions,
          .excluded = excluded};
}

struct Printer {
  void operator()(const admission::Admitted& it) const {
    std::cout << "admitted at target " << it.target.value << "\n";
  }
  void operator()(const admission::Waiting& it) const {
    std::cout << "waits as waiter " << it.waiter << "\n";
  }
  void operator()(const admission::Refused& it) const {
    std::cout << "refused: " << admission::Name(it.reason) << "\n";
  }
};

template <typename Variant>
void Print(std::string_view name, const Variant& decision) {
  std::cout << name << ": ";
  std::visit(Printer(), decision);
}

void PrintReady(Gate& gate, base::Instant now) {
  for (const auto& it : gate.TakeReady(now)) {
    Print("waiter " + std::to_string(it.waiter), it.result);
  }
}

/// Grants one short-work slot at each of the two targets.
void SetUp(Gate& gate) {
  gate.SetTargets(kTargets, At(0));
  const std::array grants = {
      admission::Grant{{1}, base::WorkClass::kShort, 1, At(8000)},
      admission::Grant{{2}, base::WorkClass::kShort, 1, At(8000)},
  };
  gate.SetGrants(grants, At(0));
}

/// Retries a request whose target refused the connection at another target. This is safe, since no
/// byte of the request was written, and is subject to the retry budget.
void RetryElsewhere(Gate& gate, retry::Budget& budget, const admission::Admitted& failed) {
  gate.Complete(failed.slot, {.latency = {}, .result = admission::Result::kFailed}, At(5));
  const retry::FailedAttempt attempt{.is_idempotent = false, .bytes_written = 0};
  if (!retry::IsSafeToRepeat(attempt) || !budget.TryRetry(At(5))) {
    std::cout << "first: not repeated\n";
    return;
  }
  const std::array excluded = {failed.target};
  Print("first again", gate.Admit(MakeRequest(At(1000), excluded), At(5)));
}

}  // namespace

int main() {
  Gate gate({});
  SetUp(gate);
  retry::Budget budget({}, At(0));

  budget.OnRequest(At(1));
  const auto first = gate.Admit(MakeRequest(At(1000)), At(1));
  Print("first", first);
  budget.OnRequest(At(2));
  const auto second = gate.Admit(MakeRequest(At(1000)), At(2));
  Print("second", second);
  budget.OnRequest(At(3));
  Print("third", gate.Admit(MakeRequest(At(1000)), At(3)));
  budget.OnRequest(At(4));
  Print("late", gate.Admit(MakeRequest(At(4)), At(4)));

  const auto* failed = std::get_if<admission::Admitted>(&first);
  const auto* served = std::get_if<admission::Admitted>(&second);
  if (failed == nullptr || served == nullptr) {
    return 1;
  }
  RetryElsewhere(gate, budget, *failed);
  PrintReady(gate, At(5));
  gate.Complete(served->slot, {.latency = base::Duration::Milliseconds(8)}, At(10));
  PrintReady(gate, At(10));
  return 0;
}
