// Functions that the subcommands share.
#include "app/internal/command.h"

#include <fstream>
#include <iterator>

#include "base/error.h"

namespace mangonotch::app {

void ParseArguments(TCLAP::CmdLine& cmd, Arguments& args) {
  cmd.setExceptionHandling(false);
  cmd.parse(args);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw base::Error("read file", path, "the file cannot be opened");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace mangonotch::app
