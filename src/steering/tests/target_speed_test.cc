// Covers what is learned of a target's speed: guards against requests at targets that are slow, or
// slow down under load, and against distrust of a target for the chance of single answers.
#include "steering/target_speed.h"

#include <catch2/catch.hpp>
#include <vector>

#include "base/random.h"

namespace mangonotch::steering {
namespace {

constexpr std::uint32_t kSlots = 9;
constexpr double kAverageMs = 500;

base::Instant At(std::int64_t ms) {
  return base::Instant() + base::Duration::Milliseconds(1'000'000 + ms);
}

/// Targets of a service whose answers arrive in turn, one every 10 ms.
class Service {
 public:
  explicit Service(std::size_t targets) : targets_(targets) {}

  /// Answers of `target` take `base_ms + slope_ms * load`, with a random factor around 1.
  void Answer(std::size_t target, double base_ms, double slope_ms = 0) {
    now_ms_ += 10;
    const double load = random_.Below(kSlots);
    const double ms = (base_ms + slope_ms * load) * (0.6 + 0.8 * random_.Unit());
    targets_[target].Observe(ms, load, At(now_ms_));
    variation_.Observe(targets_[target], kAverageMs, At(now_ms_));
  }
  void Wait(std::int64_t ms) { now_ms_ += ms; }
  TargetSpeed::Line LineOf(std::size_t target) const {
    return targets_[target].Fit(kAverageMs, variation_.PriorAnswers(), kSlots, At(now_ms_));
  }
  const SpeedVariation& variation() const { return variation_; }

 private:
  std::vector<TargetSpeed> targets_;
  SpeedVariation variation_;
  base::Random random_{5};
  std::int64_t now_ms_ = 0;
};

}  // namespace

TEST_CASE("A target without answers is average, or as slow as it reports") {
  const TargetSpeed speed;
  for (const double reported_ms : {500.0, 1250.0}) {
    const TargetSpeed::Line line = speed.Fit(reported_ms, 1, kSlots, At(0));
    REQUIRE(line.At(0) == Approx(reported_ms));
    REQUIRE(line.At(kSlots) == Approx(reported_ms));
  }
}

TEST_CASE("Where all targets are alike, few answers of one change little") {
  Service service(20);
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < 20; ++i) service.Answer(i, kAverageMs);
  }
  REQUIRE(service.variation().PriorAnswers() > 10);
  for (std::size_t i = 0; i < 20; ++i) {
    REQUIRE(service.LineOf(i).At(4) > 0.8 * kAverageMs);
    REQUIRE(service.LineOf(i).At(4) < 1.25 * kAverageMs);
  }
}

TEST_CASE("Where targets differ, few answers tell the slow ones, and the return to their speed") {
  Service service(20);
  const auto play = [&](int rounds, double slow_factor) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t i = 0; i < 20; ++i) {
        service.Answer(i, i < 3 ? kAverageMs * slow_factor : kAverageMs);
      }
    }
  };
  play(6, 2.5);
  REQUIRE(service.variation().PriorAnswers() < 4);
  for (std::size_t i = 0; i < 3; ++i) REQUIRE(service.LineOf(i).At(4) > 1.8 * kAverageMs);
  for (std::size_t i = 3; i < 20; ++i) REQUIRE(service.LineOf(i).At(4) < 1.3 * kAverageMs);
  // Twenty seconds of answers at 200 ms intervals.
  play(100, 1);
  for (std::size_t i = 0; i < 3; ++i) REQUIRE(service.LineOf(i).At(4) < 1.3 * kAverageMs);
}

// A slow target gets fewer requests; without answers it must become average again to be tried.
TEST_CASE("What is known of a target fades without answers") {
  Service service(10);
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < 10; ++i) service.Answer(i, i < 2 ? 2000 : kAverageMs);
  }
  REQUIRE(service.LineOf(0).At(0) > 2 * kAverageMs);
  service.Wait(60'000);
  REQUIRE(service.LineOf(0).At(0) < 1.1 * kAverageMs);
}

TEST_CASE("A target that slows down with its load is told from one that is always slow") {
  Service service(10);
  for (int round = 0; round < 15; ++round) {
    for (std::size_t i = 0; i < 10; ++i) service.Answer(i, 400, i < 3 ? 150 : 0);
  }
  const TargetSpeed::Line crowded = service.LineOf(0);
  REQUIRE(crowded.At(0) < 1.6 * kAverageMs);
  REQUIRE(crowded.At(kSlots - 1) > 2 * kAverageMs);
  REQUIRE(crowded.At(kSlots - 1) > 1.5 * crowded.At(0));
}

TEST_CASE("A single extreme answer does not mark a target as slow") {
  Service service(10);
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < 10; ++i) service.Answer(i, kAverageMs);
  }
  service.Answer(0, 3000);
  REQUIRE(service.LineOf(0).At(0) < 1.6 * kAverageMs);
}

}  // namespace mangonotch::steering
