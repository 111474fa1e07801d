// Outcome of an operator's edit.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "table/diff.h"
#include "table/risk.h"
#include "table/table.h"

namespace mangonotch::publication {

enum class EditStatus : std::uint8_t {
  /// The store accepted it, possibly with later edits on top.
  kInForce,
  /// Nothing was written: the file has the content that is already in force.
  kNoChange,
  /// Nothing was written: the edit is risky and the operator has not confirmed it.
  kNeedsConfirmation,
  /// Nothing was written: the resulting table would be invalid.
  kInvalid,
  /// The edit is certain not to be in force: another edit was written first.
  kConflict,
  /// The edit is certain not to be in force: the store could not be reached or read.
  kNotInForce,
  /// A write was sent, and whether it took effect is not known yet.
  kUnknown,
};

struct EditOutcome {
  EditStatus status = EditStatus::kUnknown;
  std::string edit_id;
  /// The revision the edit was made from, and the one it has or would have.
  base::Revision made_from = 0;
  base::Revision revision = 0;
  /// Changes made by the edit, and their risks.
  std::vector<table::DiffEntry> changes;
  std::vector<table::RiskWarning> risks;
  /// Edits by others since `made_from`, oldest first, and the resulting changes to the store's
  /// table.
  std::vector<table::HistoryEntry> other_edits;
  std::vector<table::DiffEntry> other_changes;
  /// Whether `other_changes` is relative to the table the edit was made from. If that table is no
  /// longer known, it is relative to the operator's file.
  bool is_other_since_base = true;
  /// Cause of the outcome, shown to the operator. May be empty.
  std::string detail;

  /// Multi-line text for the operator's terminal.
  std::string Text() const;
};

}  // namespace mangonotch::publication
