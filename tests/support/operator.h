// An operator of a deployment: runs `mangonotch table edit` with a changed table.
#pragma once

#include <memory>
#include <string>

#include "tests/support/deployment.h"
#include "tests/support/process.h"

namespace mangonotch::support {

struct EditSpec {
  int revision = 1;  // The edit is made from this one.
  int lookup_ttl_ms = 1000;
  std::string author = "test";
};

struct CommandResult {
  int exit_code = -1;
  std::string output;
};

/// An edit that runs. Edits that run at once need different authors.
struct RunningEdit {
  std::unique_ptr<Process> process;
  CommandResult Wait();
};

RunningEdit StartEdit(Deployment& deployment, const EditSpec& spec);
CommandResult Edit(Deployment& deployment, const EditSpec& spec);

}  // namespace mangonotch::support
