// Runs the soak for given seeds and reports each: `soak FOLDER SEED...`. Exit status 1 when a
// promise was broken in any of them.
#include <sys/stat.h>

#include <iostream>
#include <span>
#include <string>

#include "tests/soak/soak_run.h"

namespace {

using mangonotch::soak::SoakReport;

void Print(std::uint64_t seed, const SoakReport& report) {
  std::cout << "seed " << seed << ": " << report.served << " of " << report.asked << " served, "
            << report.calm_served << " of " << report.calm_asked << " at the end\n";
  for (const std::string& it : report.faults) std::cout << "  " << it << "\n";
  constexpr std::size_t kBarWidth = 40;
  for (std::size_t i = 0; i < report.by_second.size(); ++i) {
    const auto& [served, asked] = report.by_second[i];
    const std::size_t width = asked == 0 ? 0 : served * kBarWidth / asked;
    std::cout << "  " << i << " s\t" << std::string(width, '#') << " " << served << "/" << asked
              << "\n";
  }
  for (const std::string& it : report.broken) std::cout << "  BROKEN: " << it << "\n";
  std::cout << std::flush;
}

}  // namespace

int main(int argc, char** argv) {
  const std::span<char* const> args(argv, static_cast<std::size_t>(argc));
  if (args.size() < 3) {
    std::cerr << "usage: soak FOLDER SEED...\n";
    return 2;
  }
  bool is_broken = false;
  for (char* const it : args.subspan(2)) {
    mangonotch::soak::SoakOptions options;
    options.seed = std::stoull(it);
    options.binary = MANGONOTCH_BINARY;
    options.folder = std::string(args[1]) + "/seed-" + it;
    mkdir(args[1], 0755);
    mkdir(options.folder.c_str(), 0755);
    const SoakReport report = mangonotch::soak::SoakRun(options).Run();
    Print(options.seed, report);
    is_broken = is_broken || !report.broken.empty();
  }
  return is_broken ? 1 : 0;
}
