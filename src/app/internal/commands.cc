// Dispatch of subcommands.
#include "app/commands.h"

#include <signal.h>
#include <tclap/CmdLine.h>

#include <array>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

#include "app/entry_host.h"
#include "base/error.h"
#include "jsonc/fault.h"
#include "logging/log.h"
#include "settings/host_settings.h"
#include "table/table.h"

namespace mangonotch::app {
namespace {

using Arguments = std::vector<std::string>;

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(Arguments args, std::ostream& out);
};

int Serve(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Runs an entry host until SIGTERM or SIGINT, then drains it", ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> file("settings", "settings file of this host", true, "",
                                             "file", cmd);
  cmd.setExceptionHandling(false);
  cmd.parse(args);
  const auto settings = settings::HostSettings::ReadFile(file.getValue());
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  logging::SetUp(static_cast<logging::Level>(settings.log_level));
  EntryHost host(settings);
  out << "serving " << settings.listen.callers << std::endl;
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  out << "draining" << std::endl;
  host.Drain();
  out << "stopped" << std::endl;
  return kSuccess;
}

int Check(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Checks settings files and lists every fault", ' ', "0.1.0");
  TCLAP::UnlabeledMultiArg<std::string> files("settings", "settings files", true, "file", cmd);
  cmd.setExceptionHandling(false);
  cmd.parse(args);
  for (const std::string& it : files) {
    settings::HostSettings::ReadFile(it);
    out << it << ": ok\n";
  }
  return kSuccess;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw base::Error("read file", path, "cannot be opened");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int Table(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Reads, checks, compares and edits the operators' table", ' ', "0.1.0");
  TCLAP::UnlabeledValueArg<std::string> action("action", "check", true, "", "action", cmd);
  TCLAP::UnlabeledValueArg<std::string> file("file", "table file", false, "", "file", cmd);
  cmd.setExceptionHandling(false);
  cmd.parse(args);
  table::Table::Parse(ReadFile(file.getValue()), file.getValue());
  out << file.getValue() << ": ok\n";
  return kSuccess;
}

constexpr std::array<Command, 3> kCommands = {{
    {"serve", "run an entry host", Serve},
    {"check", "check settings files", Check},
    {"table", "read, check, compare and edit the table", Table},
}};

void PrintHelp(std::ostream& out) {
  out << "usage: mangonotch COMMAND [OPTIONS]\n\ncommands:\n";
  for (const Command& it : kCommands) {
    out << "  " << it.name << std::string(10 - it.name.size(), ' ') << it.summary << "\n";
  }
  out << "\n'mangonotch COMMAND --help' lists the options of a command.\n"
         "exit codes: 0 success, 1 failure, 2 usage, 3 faults in a file, 4 an edit lost against "
         "another one, 5 unknown whether an edit is in force\n";
}

int Run(const Command& command, std::span<char* const> args, std::ostream& out, std::ostream& err) {
  Arguments rest{"mangonotch " + std::string(command.name)};
  for (char* const it : args.subspan(2)) rest.emplace_back(it);
  try {
    return command.run(std::move(rest), out);
  } catch (const TCLAP::ExitException& ex) {
    return ex.getExitStatus();
  } catch (const TCLAP::ArgException& ex) {
    err << "mangonotch " << command.name << ": " << ex.error() << " " << ex.argId() << "\n";
    return kUsage;
  } catch (const jsonc::FaultError& ex) {
    err << ex.what() << "\n";
    return kFaults;
  } catch (const base::Error& ex) {
    err << "mangonotch: " << ex.what() << "\n";
    return kFailure;
  }
}

}  // namespace

int RunCommand(std::span<char* const> args, std::ostream& out, std::ostream& err) {
  const std::string_view name = args.size() > 1 ? args[1] : "";
  if (name == "--help" || name == "help") {
    PrintHelp(out);
    return kSuccess;
  }
  for (const Command& it : kCommands) {
    if (it.name == name) return Run(it, args, out, err);
  }
  err << (name.empty() ? "" : "mangonotch: unknown command '" + std::string(name) + "'\n");
  PrintHelp(err);
  return kUsage;
}

}  // namespace mangonotch::app
