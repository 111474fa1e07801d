// Formats edit outcomes for the operator.
#include "publication/edit_outcome.h"

namespace mangonotch::publication {
namespace {

template <typename Entries>
std::string Lines(const std::string& title, const Entries& entries) {
  std::string text;
  for (const auto& entry : entries) {
    text += "  " + entry.Text() + "\n";
  }
  return text.empty() ? "" : title + ":\n" + text;
}

std::string OtherEdits(const EditOutcome& outcome) {
  std::string text;
  for (const table::HistoryEntry& entry : outcome.other_edits) {
    text += "  revision " + std::to_string(entry.revision) + " by " + entry.author + ": " +
            entry.summary + "\n";
  }
  return text.empty() ? "" : "Edits by others since then:\n" + text;
}

std::string OtherChanges(const EditOutcome& outcome) {
  return Lines(outcome.is_other_since_base ? "What they changed"
                                           : "How the table in force differs from your file",
               outcome.other_changes);
}

}  // namespace

std::string EditOutcome::Text() const {
  const std::string edit = "Edit " + edit_id;
  const std::string cause = detail.empty() ? "" : "Cause: " + detail + "\n";
  const std::string number = std::to_string(revision);
  switch (status) {
    case EditStatus::kInForce:
      return edit + " is accepted as revision " + number + ".\n" +
             Lines("What it changed", changes) + OtherEdits(*this);
    case EditStatus::kNoChange:
      return "The file changes nothing: revision " + std::to_string(made_from) +
             " has the same content. Nothing was written.\n";
    case EditStatus::kNeedsConfirmation:
      return "Nothing was written, since this edit is risky. Retry the command with --yes to "
             "accept it.\n" +
             Lines("What it would change", changes) + Lines("Risks", risks);
    case EditStatus::kInvalid:
      return "Nothing was written, since the table would not be valid.\n" + cause;
    case EditStatus::kConflict:
      return edit + " is not in force and will not be: it was made from revision " +
             std::to_string(made_from) +
             ", and another edit came first. Your file is unchanged; make the edit again from the "
             "table in force.\n" +
             cause + OtherEdits(*this) + OtherChanges(*this);
    case EditStatus::kNotInForce:
      return edit +
             " is not in force and will not be: the store could not be reached or could not be "
             "read. Hosts keep their present table. Try again later.\n" +
             cause;
    case EditStatus::kUnknown:
      return "It is not known yet whether edit " + edit_id +
             " is in force: it was sent, and the store's answer was lost. Retry the command with "
             "--edit-id " +
             edit_id + " once the store answers: it is then applied at most once.\n" + cause;
  }
  return "";
}

}  // namespace mangonotch::publication
