// `mangonotch table`: show, check, diff and edit.
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <random>
#include <string_view>
#include <thread>

#include "app/exit_code.h"
#include "app/internal/command.h"
#include "app/internal/store_table.h"
#include "base/error.h"
#include "publication/edit_plan.h"
#include "table/diff.h"
#include "table/table.h"
#include "table/text.h"

namespace mangonotch::app {
namespace {

/// Pause after a call to the store that failed.
constexpr auto kRetryPause = std::chrono::milliseconds(300);

/// The command line of `mangonotch table`.
struct TableOptions {
  explicit TableOptions(Arguments& args)
      : cmd("Shows, checks, compares and edits the operators' table", ' ', kVersion),
        action("action", "show, check, diff or edit", true, "", "action", cmd),
        file("file", "table file, for check, diff and edit", false, "", "file", cmd),
        store("s", "store", "address of the key-value service", false, "", "ip:port", cmd),
        author("a", "author", "your name, kept in the history", false, DefaultAuthor(), "name",
               cmd),
        summary("m", "summary", "what the edit is for, kept in the history", false, "", "text",
                cmd),
        edit_id("", "edit-id", "repeat an edit whose outcome is unknown", false, "", "id", cmd),
        json("j", "json", "print the table as JSON", cmd),
        yes("y", "yes", "accept the risks that are shown", cmd) {
    ParseArguments(cmd, args);
  }

  static std::string DefaultAuthor() {
    const char* user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
  }

  const std::string& Need(TCLAP::ValueArg<std::string>& arg) const {
    if (!arg.isSet()) throw TCLAP::CmdLineParseException("this action needs", arg.toString());
    return arg.getValue();
  }
  const std::string& NeedFile() {
    if (file.getValue().empty()) throw TCLAP::CmdLineParseException("this action needs a file");
    return file.getValue();
  }

  TCLAP::CmdLine cmd;
  TCLAP::UnlabeledValueArg<std::string> action;
  TCLAP::UnlabeledValueArg<std::string> file;
  TCLAP::ValueArg<std::string> store;
  TCLAP::ValueArg<std::string> author;
  TCLAP::ValueArg<std::string> summary;
  TCLAP::ValueArg<std::string> edit_id;
  TCLAP::SwitchArg json;
  TCLAP::SwitchArg yes;
};

table::Table ReadStored(const std::string& address) {
  StoreTable store(address);
  const publication::ReadAnswer answer = store.ReadTable();
  using Status = publication::ReadAnswer::Status;
  if (answer.status == Status::kAbsent) {
    throw base::Error("read table", "store " + address, "it holds no table yet");
  }
  if (answer.status == Status::kUnavailable) {
    throw base::Error("read table", "store " + address, "it does not answer");
  }
  return table::Table::Parse(answer.value, "store " + address);
}

table::Table ReadTableFile(const std::string& path) {
  return table::Table::Parse(ReadFile(path), path);
}

int Show(TableOptions& options, std::ostream& out) {
  const table::Table table = options.file.getValue().empty()
                                 ? ReadStored(options.Need(options.store))
                                 : ReadTableFile(options.file.getValue());
  out << (options.json.getValue() ? table.ToJson() : table::RenderText(table));
  return kSuccess;
}

int CheckFile(TableOptions& options, std::ostream& out) {
  ReadTableFile(options.NeedFile());
  out << options.file.getValue() << ": ok\n";
  return kSuccess;
}

int ShowDiff(TableOptions& options, std::ostream& out) {
  const table::Table edited = ReadTableFile(options.NeedFile());
  const table::Table stored = ReadStored(options.Need(options.store));
  out << "changes from revision " << stored.revision << " of the store to "
      << options.file.getValue() << " (made from revision " << edited.revision << "):\n";
  const auto changes = table::Diff(stored, edited);
  for (const table::DiffEntry& it : changes) out << "  " << it.Text() << "\n";
  if (changes.empty()) out << "  none\n";
  return kSuccess;
}

std::string NewEditId() {
  std::random_device device;
  std::string id = "edit-";
  for (int i = 0; i < 4; ++i) id += std::to_string(device());
  return id;
}

int ExitCodeOf(publication::EditStatus status) {
  switch (status) {
    case publication::EditStatus::kInForce:
    case publication::EditStatus::kNoChange:
      return kSuccess;
    case publication::EditStatus::kNeedsConfirmation:
      return kNeedsConfirmation;
    case publication::EditStatus::kInvalid:
      return kFaults;
    case publication::EditStatus::kConflict:
      return kConflict;
    case publication::EditStatus::kNotInForce:
      return kFailure;
    case publication::EditStatus::kUnknown:
      return kUncertain;
  }
  return kFailure;
}

int Edit(TableOptions& options, std::ostream& out) {
  publication::EditRequest request;
  request.edited = ReadTableFile(options.NeedFile());
  request.author = options.author.getValue();
  request.time_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
  request.may_have_been_sent = options.edit_id.isSet();
  request.edit_id = options.edit_id.isSet() ? options.edit_id.getValue() : NewEditId();
  request.summary = options.Need(options.summary);
  request.is_confirmed = options.yes.getValue();
  StoreTable store(options.Need(options.store));
  publication::EditPlan plan(std::move(request));
  const auto& outcome = RunEdit(plan, store, [] { std::this_thread::sleep_for(kRetryPause); });
  out << outcome.Text();
  return ExitCodeOf(outcome.status);
}

}  // namespace

int Table(Arguments args, std::ostream& out) {
  TableOptions options(args);
  const std::string& action = options.action.getValue();
  if (action == "show") return Show(options, out);
  if (action == "check") return CheckFile(options, out);
  if (action == "diff") return ShowDiff(options, out);
  if (action == "edit") return Edit(options, out);
  throw TCLAP::CmdLineParseException("unknown action '" + action +
                                     "'; known are show, check, diff "
                                     "and edit");
}

}  // namespace mangonotch::app
