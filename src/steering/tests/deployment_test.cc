// Plays the load of the two deployments of docs/design/hard-load.md against modelled targets, and
// guards what callers get from the placement of objects. `steering_tests "[figures]" -s` prints the
// figures of all plays.
#include <catch2/catch.hpp>
#include <cstdio>

#include "steering/tests/deployment_model.h"

namespace mangonotch::steering {
namespace {

/// At a third of the targets, work takes up to 3.4 times as long when all nine slots are busy.
constexpr double kCrowding = 0.3;

/// `skew` of the demand for objects; `load` relative to the usual rates.
ModelDeployment DeploymentW(double skew, double load) {
  ModelDeployment w;
  w.routes = {
      {"table-state", "tischdienst", 1049 * load, 640, 500, 3000, true, 0, 261, skew},
      {"token-kauf", "tischdienst", 405 * load, 840, 1200, 4000, false, 2, 101, skew},
      {"regel-pakete", "spieldienst", 164 * load, 520, 500, 2500, true, 1, 41, skew},
      {"spielzug", "spieldienst", 122 * load, 520, 500, 2500, false, 1, 30, skew},
  };
  w.services = {
      {.name = "tischdienst",
       .targets = {121, 120, 27},
       .slots = 3,
       .queue = 9,
       .cached_objects = 16},
      {.name = "spieldienst", .targets = {18, 18, 4}, .slots = 3, .queue = 9, .cached_objects = 22},
  };
  return w;
}

/// The number of objects and the sizes of caches of this deployment are not known; those of the
/// other one are assumed.
ModelDeployment DeploymentM(double load) {
  ModelDeployment m;
  m.routes = {
      {"archive-browse", "archive-svc", 1053 * load, 1900, 1500, 12'000, true, 0, 300, 0.5},
      {"bid-submit", "bid-svc", 170 * load, 1300, 1600, 8000, false, 0, 0, 0},
  };
  m.services = {
      {.name = "archive-svc",
       .targets = {92, 92, 20},
       .slots = 9,
       .queue = 27,
       .cached_objects = 16},
      {.name = "bid-svc", .targets = {15, 15, 4}, .slots = 9, .queue = 27, .cached_objects = 16},
  };
  m.slow_share = 0.15;
  return m;
}

void Print(const char* play, const ModelDeployment& deployment) {
  DeploymentModel model(deployment);
  for (const ModelResult& it : model.Run()) {
    std::printf("%-8s %-14s %6d in time %.3f late %.3f refused %.3f mean %4.0f ms warm %.3f", play,
                it.route.c_str(), it.requests, it.InTime(), it.Late(), it.Refused(), it.MeanMs(),
                it.Warm());
    std::printf(" remote %.3f\n", it.Remote());
  }
  for (const ModelService& it : deployment.services) {
    std::printf("%-8s %-14s busiest over mean %.2f\n", play, it.name.c_str(),
                model.BusiestOverMean(it.name));
  }
  std::printf("%-8s at homes %.3f\n", play, model.HomeShare());
}

double InTime(const ModelDeployment& deployment, std::uint64_t seed = 7) {
  DeploymentModel model(deployment, {}, seed);
  return model.Run().front().InTime();
}

}  // namespace

// Guards against queues at the few homes of an object in high demand while other targets have free
// slots: with two homes for every object, 0.60 of these requests are in time.
TEST_CASE("Objects in high demand have the homes that they need") {
  REQUIRE(InTime(DeploymentW(0.8, 1.6)) >= 0.70);
}

// With two homes for every object, 0.70 of these requests are in time.
TEST_CASE("Objects in even demand are in time at high load, also after targets lost their caches") {
  ModelDeployment deployment = DeploymentW(0, 1.6);
  deployment.restart_every = 6;
  REQUIRE(InTime(deployment) >= 0.75);
}

// With two homes for every object and without learned speeds, 0.72 of the requests for objects are
// in time.
TEST_CASE("Objects have homes enough, and slow targets are avoided") {
  REQUIRE(InTime(DeploymentM(1.6)) >= 0.86);
}

// Guards against targets that are filled up although they slow down long before.
TEST_CASE("Targets that slow down with their load are avoided before they are full") {
  ModelDeployment deployment = DeploymentM(1.0);
  deployment.crowding = kCrowding;
  REQUIRE(InTime(deployment) >= 0.75);
}

TEST_CASE("Figures of the modelled deployments", "[.][figures]") {
  for (const double load : {1.0, 1.6}) {
    std::printf("load %.1f\n", load);
    Print("W", DeploymentW(0, load));
    Print("W skewed", DeploymentW(0.8, load));
    Print("M", DeploymentM(load));
    ModelDeployment crowded = DeploymentM(load);
    crowded.crowding = kCrowding;
    Print("crowded", crowded);
    ModelDeployment restarts = DeploymentW(0, load);
    restarts.restart_every = 6;
    Print("restarts", restarts);
  }
}

}  // namespace mangonotch::steering
