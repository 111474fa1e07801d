// Runs one measurement by name.
#include <array>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "bench/measure/measurements.h"

namespace mangonotch::bench {
namespace {

struct Measurement {
  std::string_view name;
  void (*run)();
};

constexpr std::array<Measurement, 9> kMeasurements = {{{"throughput", MeasureThroughput},
                                                       {"slowed-workers", MeasureSlowedWorkers},
                                                       {"long-work", MeasureLongWork},
                                                       {"target-drain", MeasureTargetDrain},
                                                       {"host-drain", MeasureHostDrain},
                                                       {"control-cost", MeasureControlCost},
                                                       {"datagrams", MeasureDatagrams},
                                                       {"edits", MeasureEdits},
                                                       {"lookups", MeasureLookups}}};

int Run(std::string_view name) {
  for (const Measurement& it : kMeasurements) {
    if (it.name != name) continue;
    it.run();
    return 0;
  }
  std::cerr << "usage: scripts/measure NAME, one of:";
  for (const Measurement& it : kMeasurements) std::cerr << " " << it.name;
  std::cerr << "\n";
  return 2;
}

}  // namespace
}  // namespace mangonotch::bench

int main(int argc, char** argv) {
  try {
    return mangonotch::bench::Run(argc == 2 ? argv[1] : "");
  } catch (const std::exception& ex) {
    std::cerr << "measure: " << ex.what() << "\n";
    return 1;
  }
}
