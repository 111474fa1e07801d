// The subcommands of the mangonotch binary.
#pragma once

#include <ostream>
#include <span>

#include "app/exit_code.h"

namespace mangonotch::app {

/// Runs the subcommand `args[1]` with the remaining arguments and returns its exit code.
int RunCommand(std::span<char* const> args, std::ostream& out, std::ostream& err);

}  // namespace mangonotch::app
