// Guards the bound on repeats, which must hold as a sum over all hosts and any window.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "steering/repeat_budget.h"

namespace mangonotch::steering {
namespace {

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

}  // namespace

TEST_CASE("A sliding count forgets what is older than its window") {
  SlidingCount count(base::Duration::Seconds(1));
  for (std::int64_t i = 0; i < 5; ++i) count.Add(At(i * 10));
  REQUIRE(count.Count(At(500)) == 5);
  REQUIRE(count.Count(At(999)) == 5);
  REQUIRE(count.Count(At(1200)) == 0);
  count.Add(At(100'000));
  REQUIRE(count.Count(At(100'001)) == 1);
}

TEST_CASE("Eight hosts together stay within ratio and allowance in every window") {
  constexpr int kHosts = 8;
  const RepeatLimits limits{.ratio = 0.2, .allowance = 56};
  std::vector<RepeatBudget> hosts(kHosts, RepeatBudget(limits));
  std::vector<std::int64_t> repeats;
  std::vector<std::int64_t> requests;
  for (std::int64_t ms = 0; ms < 40'000; ms += 10) {
    for (RepeatBudget& it : hosts) {
      if (ms % 100 == 0) {
        it.OnRequest(At(ms));
        requests.push_back(ms);
      }
      if (it.TryRepeat(kHosts, At(ms))) repeats.push_back(ms);
    }
  }
  for (std::int64_t start = 0; start < 30'000; start += 500) {
    const auto in_window = [&](const std::vector<std::int64_t>& times) {
      return std::count_if(times.begin(), times.end(),
                           [&](std::int64_t it) { return it >= start && it < start + 10'000; });
    };
    REQUIRE(static_cast<double>(in_window(repeats)) <=
            0.2 * static_cast<double>(in_window(requests)) + 56);
  }
}

// Each host that starts anew has forgotten what it spent.
TEST_CASE("Restarting every host within a window keeps the sum of the allowance") {
  constexpr int kHosts = 8;
  const RepeatLimits limits{.ratio = 0.2, .allowance = 56};
  int repeats = 0;
  for (std::int64_t run = 0; run < 2; ++run) {
    std::vector<RepeatBudget> hosts(kHosts, RepeatBudget(limits));
    for (RepeatBudget& it : hosts) {
      while (it.TryRepeat(kHosts, At(run * 1000))) ++repeats;
    }
  }
  REQUIRE(repeats <= 56);
}

// A host that started anew with each change of its limits would spend them once for each change.
TEST_CASE("Repeats already made count under new limits") {
  RepeatBudget budget({.ratio = 0, .allowance = 20});
  while (budget.TryRepeat(1, At(0))) {
  }
  budget.SetLimits({.ratio = 0, .allowance = 22, .window = base::Duration::Seconds(20)}, At(10));
  REQUIRE(budget.TryRepeat(1, At(20)));
  REQUIRE_FALSE(budget.TryRepeat(1, At(20)));
  REQUIRE_FALSE(budget.TryRepeat(1, At(15'000)));
  REQUIRE(budget.TryRepeat(1, At(25'000)));
}

}  // namespace mangonotch::steering
