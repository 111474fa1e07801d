// Covers the number of homes that an object gets from its demand.
#include "steering/object_demand.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "base/hash.h"
#include "base/random.h"

namespace mangonotch::steering {
namespace {

constexpr std::size_t kTargets = 268;
constexpr std::uint32_t kObjects = 362;

base::Instant At(std::int64_t ms) {
  return base::Instant() + base::Duration::Milliseconds(1'000'000 + ms);
}

std::uint64_t KeyOf(std::uint32_t object) { return base::Mix(object + 1); }

/// Requests at 25 per second, evenly for `objects`.
ObjectDemand EvenDemand(int requests, std::uint32_t objects, std::uint64_t seed = 1) {
  ObjectDemand demand;
  base::Random random(seed);
  for (int i = 0; i < requests; ++i) {
    demand.OnRequest(KeyOf(random.Below(objects)), At(std::int64_t{40} * i));
  }
  return demand;
}

double MeanHomes(const ObjectDemand& demand, std::uint32_t objects, std::size_t targets) {
  double sum = 0;
  for (std::uint32_t i = 0; i < objects; ++i) sum += demand.HomesOf(KeyOf(i), targets);
  return sum / objects;
}

}  // namespace

TEST_CASE("An object has the fewest homes while little is known") {
  REQUIRE(ObjectDemand().HomesOf(KeyOf(0), kTargets) == kMinHomes);
  REQUIRE(EvenDemand(10, kObjects).HomesOf(KeyOf(0), kTargets) == kMinHomes);
}

// A host sees few requests for each object; it must neither take the objects that it has seen for
// all of them nor wait until it has seen all.
TEST_CASE("The number of objects is estimated before all have been seen") {
  const int requests = GENERATE(150, 300, 450);
  const double count = EvenDemand(requests, kObjects).ObjectCount();
  REQUIRE(count > 0.75 * kObjects);
  REQUIRE(count < 1.25 * kObjects);
}

TEST_CASE("Objects in even demand have about as many homes each as caches have room for") {
  const double roomy = MeanHomes(EvenDemand(450, kObjects), kObjects, kTargets);
  REQUIRE(roomy > 2.7);
  REQUIRE(roomy < 3.2);
  // Guards against a working set that fits no cache, in which case all requests miss.
  REQUIRE(MeanHomes(EvenDemand(450, 100), 100, 8) == kMinHomes);
}

TEST_CASE("An object in high demand has more homes, and the others do not lose theirs") {
  ObjectDemand demand = EvenDemand(450, kObjects);
  for (int i = 0; i < 50; ++i) demand.OnRequest(KeyOf(0), At(18'000));
  const std::uint32_t hot = demand.HomesOf(KeyOf(0), kTargets);
  REQUIRE(hot >= 8);
  REQUIRE(hot <= kMaxHomes);
  REQUIRE(MeanHomes(demand, kObjects, kTargets) > 2.6);
}

// Homes are the first targets of a ranking, so an object's homes at two hosts are the same but for
// the last ones.
TEST_CASE("Hosts with requests of their own agree about the number of homes") {
  const ObjectDemand a = EvenDemand(450, kObjects, 1);
  const ObjectDemand b = EvenDemand(450, kObjects, 2);
  int close = 0;
  for (std::uint32_t i = 0; i < kObjects; ++i) {
    const int difference = static_cast<int>(a.HomesOf(KeyOf(i), kTargets)) -
                           static_cast<int>(b.HomesOf(KeyOf(i), kTargets));
    close += std::abs(difference) <= 1 ? 1 : 0;
  }
  REQUIRE(close >= static_cast<int>(kObjects) * 95 / 100);
}

// Guards against homes that move when the number of targets changes.
TEST_CASE("The loss of a target changes few objects' number of homes") {
  const ObjectDemand demand = EvenDemand(450, 1000);
  int changed = 0;
  for (std::uint32_t i = 0; i < 1000; ++i) {
    changed += demand.HomesOf(KeyOf(i), kTargets) == demand.HomesOf(KeyOf(i), kTargets - 1) ? 0 : 1;
  }
  REQUIRE(changed <= 20);
}

TEST_CASE("Demand is forgotten after a pause, and the memory for it is bounded") {
  ObjectDemand demand = EvenDemand(450, kObjects);
  REQUIRE(demand.ObjectCount() > 0);
  demand.OnRequest(KeyOf(0), At(60'000));
  REQUIRE(demand.ObjectCount() == 0);
  // With more objects than it keeps, it does not tell their number.
  for (std::uint32_t i = 0; i < 20'000; ++i) demand.OnRequest(KeyOf(i % 10'000), At(61'000));
  REQUIRE(demand.HomesOf(KeyOf(0), kTargets) == kMinHomes);
}

TEST_CASE("Requests without an object count for nothing") {
  ObjectDemand demand;
  for (int i = 0; i < 100; ++i) demand.OnRequest(0, At(i));
  REQUIRE(demand.ObjectCount() == 0);
}

}  // namespace mangonotch::steering
