// Declarations of the subcommands, and what they share.
#pragma once

#include <tclap/CmdLine.h>

#include <ostream>
#include <string>
#include <vector>

#include "base/duration.h"

namespace mangonotch::app {

inline constexpr const char* kVersion = "0.1.0";
/// Timeout of one request from a subcommand to a host or the store.
inline constexpr base::Duration kRequestTimeout = base::Duration::Seconds(5);

/// The first element holds the program name and the subcommand.
using Arguments = std::vector<std::string>;

/// TCLAP's exceptions propagate to RunCommand, which maps them to messages and exit codes.
void ParseArguments(TCLAP::CmdLine& cmd, Arguments& args);
/// Throws base::Error when the file cannot be read.
std::string ReadFile(const std::string& path);

int Serve(Arguments args, std::ostream& out);
int Edge(Arguments args, std::ostream& out);
int Check(Arguments args, std::ostream& out);
int Table(Arguments args, std::ostream& out);
int Status(Arguments args, std::ostream& out);
int Explain(Arguments args, std::ostream& out);
int Lookup(Arguments args, std::ostream& out);
int Drain(Arguments args, std::ostream& out);

}  // namespace mangonotch::app
