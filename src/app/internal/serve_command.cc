// `mangonotch serve`, `mangonotch edge` and `mangonotch check`.
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>

#include "app/edge_host.h"
#include "app/entry_host.h"
#include "app/exit_code.h"
#include "app/internal/command.h"
#include "logging/log.h"
#include "settings/edge_settings.h"
#include "settings/host_settings.h"

namespace mangonotch::app {
namespace {

/// Environment variable with the path of the settings file on the platform.
constexpr const char* kSettingsVariable = "MANGONOTCH_SETTINGS";
/// Limit on the bytes of log lines that are buffered while standard output accepts no data.
constexpr std::size_t kMaxPendingLogBytes = std::size_t{512} * 1024;
constexpr int kMmapThresholdBytes = 64 * 1024;

}  // namespace

int Serve(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Runs an entry host until SIGTERM or SIGINT, then drains it", ' ', kVersion);
  TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file of this host", true, "",
                                             "file", cmd);
  ParseArguments(cmd, args);
  const auto settings = settings::HostSettings::ReadFile(file.getValue());
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before any thread starts, so that all threads inherit the mask and only the sigwait
  // below receives these signals.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  logging::SetUp(static_cast<logging::Level>(settings.log_level));
  EntryHost host(settings);
  logging::Log(logging::Level::kInfo, "serving", {{"host", settings.host}});
  out << "serving " << settings.listen.callers << std::endl;
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  logging::Log(logging::Level::kInfo, "draining", {{"host", settings.host}});
  host.Drain();
  logging::Log(logging::Level::kInfo, "stopped", {{"host", settings.host}});
  return kSuccess;
}

int Edge(Arguments args, std::ostream&) {
  TCLAP::CmdLine cmd("Runs an entry host on the platform until SIGTERM or SIGINT, then drains it",
                     ' ', kVersion);
  const char* const path = std::getenv(kSettingsVariable);
  TCLAP::UnlabeledValueArg<std::string> file(
      "settings",
      std::string("settings file of this host; by default the path in ") + kSettingsVariable, false,
      path == nullptr ? "" : path, "file", cmd);
  ParseArguments(cmd, args);
  const auto settings = settings::EdgeSettings::ReadFile(file.getValue());
  signal(SIGPIPE, SIG_IGN);
  // The allocator raises this threshold with each large block that is freed, and then keeps large
  // blocks instead of returning them to the kernel.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  logging::BoundedOutput log(STDOUT_FILENO, kMaxPendingLogBytes);
  logging::SetUp(settings.log_level, log);
  EdgeHost host(settings, file.getValue(), log);
  logging::Log(logging::Level::kInfo, "serving",
               {{"host", settings.host}, {"zone", settings.zone}, {"version", kVersion}});
  host.Run();
  return kSuccess;
}

int Check(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Checks settings files and lists every fault", ' ', kVersion);
  TCLAP::UnlabeledMultiArg<std::string> files("settings", "settings files", true, "file", cmd);
  ParseArguments(cmd, args);
  for (const std::string& it : files) {
    settings::HostSettings::ReadFile(it);
    out << it << ": ok\n";
  }
  return kSuccess;
}

}  // namespace mangonotch::app
