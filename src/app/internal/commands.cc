// Dispatches subcommands and maps their exceptions to messages and exit codes.
#include "app/commands.h"

#include <array>
#include <string>
#include <string_view>

#include "app/internal/command.h"
#include "base/error.h"
#include "jsonc/fault.h"

namespace mangonotch::app {
namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  int (*run)(Arguments args, std::ostream& out);
};

constexpr std::array<Command, 8> kCommands = {{
    {"serve", "run an entry host", Serve},
    {"edge", "run an entry host on the platform", Edge},
    {"check", "check settings files of hosts", Check},
    {"table", "show, check, compare or edit the operators' table", Table},
    {"status", "show hosts, revisions, coordinators and refusals", Status},
    {"explain", "explain how a host routes requests of a service", Explain},
    {"lookup", "look up the entry hosts to use", Lookup},
    {"drain", "drain an entry host and stop it", Drain},
}};

void PrintHelp(std::ostream& out) {
  out << "usage: mangonotch COMMAND [OPTIONS]\n\ncommands:\n";
  for (const Command& it : kCommands) {
    out << "  " << it.name << std::string(10 - it.name.size(), ' ') << it.summary << "\n";
  }
  out << "\n'mangonotch COMMAND --help' lists the options of a command.\n"
         "exit codes: 0 success, 1 failure, 2 usage, 3 invalid file, 4 an edit conflicts with\n"
         "another one, 5 unknown whether an edit is in force, 6 a risky edit requires --yes\n";
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
    return kInvalidFile;
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
  if (!name.empty()) err << "mangonotch: unknown command '" << name << "'\n";
  PrintHelp(err);
  return kUsage;
}

}  // namespace mangonotch::app
