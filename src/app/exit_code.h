// Exit codes of the mangonotch binary, for scripts.
#pragma once

namespace mangonotch::app {

enum ExitCode : int {
  kSuccess = 0,
  kFailure = 1,            // The operation failed; the error message has the cause.
  kUsage = 2,              // The command line is invalid.
  kInvalidFile = 3,        // A file is invalid; all of its faults are listed.
  kConflict = 4,           // An edit conflicts with another one that came first.
  kOutcomeUnknown = 5,     // It is unknown whether an edit is in force.
  kNeedsConfirmation = 6,  // A risky edit requires --yes.
};

}  // namespace mangonotch::app
