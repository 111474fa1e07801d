// `mangonotch table`: the actions show, check, diff and edit.
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <random>
#include <string_view>
#include <thread>

#include "app/exit_code.h"
#include "app/internal/command.h"
#include "app/internal/http_table_store.h"
#include "base/error.h"
#include "publication/edit_plan.h"
#include "table/diff.h"
#include "table/table.h"
#include "table/text.h"

namespace mangonotch::app {
namespace {

/// Delay before a failed call to the store is retried.
constexpr auto kRetryDelay = std::chrono::milliseconds(300);

/// Command-line options of `mangonotch table`.
struct TableOptions {
  explicit TableOptions(Arguments& args)
      : cmd("Shows, checks, compares and edits the operators' table", ' ', kVersion),
        action("action", "show, check, diff or edit", true, "", "action", cmd),
        file("file", "table file, for check, diff and edit", false, "", "file", cmd),
        store("s", "store", "address of the key-value service", false, "", "ip:port", cmd),
        author("a", "author", "author to record in the edit history", false, DefaultAuthor(),
               "name", cmd),
        summary("m", "summary", "purpose of the edit, recorded in the edit history", false, "",
                "text", cmd),
        edit_id("", "edit-id", "identifier of an earlier edit of unknown outcome, to retry it",
                false, "", "id", cmd),
        json("j", "json", "print the table as JSON", cmd),
        yes("y", "yes", "accept the listed risks", cmd) {
    ParseArguments(cmd, args);
  }

  static std::string DefaultAuthor() {
    const char* user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
  }

  const std::string& RequireArgument(TCLAP::ValueArg<std::string>& arg) const {
    if (!arg.isSet()) throw TCLAP::CmdLineParseException("this action requires", arg.toString());
    return arg.getValue();
  }
  const std::string& RequireFile() {
    if (file.getValue().empty()) throw TCLAP::CmdLineParseException("this action requires a file");
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

table::Table ReadStoredTable(const std::string& address) {
  HttpTableStore store(address);
  const publication::ReadAnswer answer = store.ReadTable();
  using Status = publication::ReadAnswer::Status;
  if (answer.status == Status::kAbsent) {
    throw base::Error("read table", "store " + address, "the store contains no table yet");
  }
  if (answer.status == Status::kUnavailable) {
    throw base::Error("read table", "store " + address, "the store does not respond");
  }
  return table::Table::Parse(answer.value, "store " + address);
}

table::Table ReadTableFile(const std::string& path) {
  return table::Table::Parse(ReadFile(path), path);
}

int Show(TableOptions& options, std::ostream& out) {
  const table::Table table = options.file.getValue().empty()
                                 ? ReadStoredTable(options.RequireArgument(options.store))
                                 : ReadTableFile(options.file.getValue());
  out << (options.json.getValue() ? table.ToJson() : table::RenderText(table));
  return kSuccess;
}

int CheckFile(TableOptions& options, std::ostream& out) {
  ReadTableFile(options.RequireFile());
  out << options.file.getValue() << ": ok\n";
  return kSuccess;
}

int ShowDiff(TableOptions& options, std::ostream& out) {
  const table::Table edited = ReadTableFile(options.RequireFile());
  const table::Table stored = ReadStoredTable(options.RequireArgument(options.store));
  out << "changes from revision " << stored.revision << " of the store to "
      << options.file.getValue() << " (based on revision " << edited.revision << "):\n";
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
      return kInvalidFile;
    case publication::EditStatus::kConflict:
      return kConflict;
    case publication::EditStatus::kNotInForce:
      return kFailure;
    case publication::EditStatus::kUnknown:
      return kOutcomeUnknown;
  }
  return kFailure;
}

int Edit(TableOptions& options, std::ostream& out) {
  publication::EditRequest request;
  request.edited = ReadTableFile(options.RequireFile());
  request.author = options.author.getValue();
  request.time_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
  request.may_have_been_sent = options.edit_id.isSet();
  request.edit_id = options.edit_id.isSet() ? options.edit_id.getValue() : NewEditId();
  request.summary = options.RequireArgument(options.summary);
  request.is_confirmed = options.yes.getValue();
  HttpTableStore store(options.RequireArgument(options.store));
  publication::EditPlan plan(std::move(request));
  const auto& outcome = RunEdit(plan, store, [] { std::this_thread::sleep_for(kRetryDelay); });
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
                                     "'; expected show, check, diff "
                                     "or edit");
}

}  // namespace mangonotch::app
