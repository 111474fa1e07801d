// Exit codes of the mangonotch binary, for scripts.
#pragma once

namespace mangonotch::app {

enum ExitCode : int {
  kSuccess = 0,
  kFailure = 1,            // The operation failed; the message says how.
  kUsage = 2,              // The command line cannot be read.
  kFaults = 3,             // A file has faults; all are listed.
  kConflict = 4,           // An edit lost against another one.
  kUncertain = 5,          // It is not known whether an edit is in force.
  kNeedsConfirmation = 6,  // A risky edit needs --yes.
};

}  // namespace mangonotch::app
