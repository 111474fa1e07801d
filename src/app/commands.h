// The subcommands of the mangonotch binary.
#pragma once

#include <ostream>
#include <span>

namespace mangonotch::app {

/// Exit codes, for scripts.
enum ExitCode : int {
  kSuccess = 0,
  kFailure = 1,    // The operation failed; the message says how.
  kUsage = 2,      // The command line cannot be read.
  kFaults = 3,     // A file has faults; all are listed.
  kConflict = 4,   // An edit lost against another one.
  kUncertain = 5,  // It is not known whether an edit is in force.
};

/// Runs `args[1]` with the arguments after it and returns the exit code.
int RunCommand(std::span<char* const> args, std::ostream& out, std::ostream& err);

}  // namespace mangonotch::app
