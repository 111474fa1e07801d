// What became of an operator's edit.
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
  /// Nothing was written: the file says what is in force already.
  kNoChange,
  /// Nothing was written: the edit is risky and the operator has not confirmed it.
  kNeedsConfirmation,
  /// Nothing was written: the table that would result is not valid.
  kInvalid,
  /// It is certain that the edit is not in force: another edit came first.
  kConflict,
  /// It is certain that the edit is not in force: the store could not be reached.
  kNotInForce,
  /// A write was sent and its effect cannot be told yet.
  kUnknown,
};

struct EditOutcome {
  EditStatus status = EditStatus::kUnknown;
  std::string edit_id;
  /// The revision the edit was made from, and the one it has or would have.
  base::Revision made_from = 0;
  base::Revision revision = 0;
  /// What the edit changes, and what that puts at risk.
  std::vector<table::DiffEntry> changes;
  std::vector<table::RiskWarning> risks;
  /// Edits of others since `made_from`, oldest first, and what the store's table has changed since.
  std::vector<table::HistoryEntry> other_edits;
  std::vector<table::DiffEntry> other_changes;
  /// Whether `other_changes` compares with the table the edit was made from. Otherwise that table
  /// is no longer known, and they compare with the operator's file.
  bool is_other_since_base = true;
  /// Cause, for the operator. May be empty.
  std::string detail;

  /// For the operator's terminal; several lines.
  std::string Text() const;
};

}  // namespace mangonotch::publication
