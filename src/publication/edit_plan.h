// An operator's edit of the table as a state machine, which requests store calls and evaluates
// their results. It never applies an edit twice and never reports an edit that took effect as lost.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "publication/edit_outcome.h"
#include "publication/table_store.h"
#include "table/table.h"

namespace mangonotch::publication {

struct EditRequest {
  /// The operator's file. Its revision is the one the edit was made from.
  table::Table edited;
  std::string author;
  /// Milliseconds since 1970-01-01 UTC.
  std::int64_t time_unix_ms = 0;
  /// Random identifier of this edit, unique among all edits. A later run of the same command reuses
  /// it to find out whether the edit took effect.
  std::string edit_id;
  std::string summary;
  /// Whether the operator accepts the risks.
  bool is_confirmed = false;
  /// Whether an earlier run with this edit identifier ended with EditStatus::kUnknown.
  bool may_have_been_sent = false;
};

/// The next call to the store.
struct EditAction {
  enum class Kind : std::uint8_t { kRead, kSwap, kDone };
  Kind kind = Kind::kDone;
  /// For kSwap. `value` is valid until OnSwap() is called.
  StoreVersion expected = 0;
  std::string_view value;
  /// Whether to pause before this call, since it is a retry.
  bool pauses = false;
};

class EditPlan {
 public:
  /// Maximum number of store calls before the plan gives up.
  static constexpr int kMaxCalls = 12;

  explicit EditPlan(EditRequest request);

  EditAction Next() const;
  /// Handles the result of a kRead action.
  void OnRead(const ReadAnswer& answer);
  /// Handles the result of a kSwap action.
  void OnSwap(SwapResult result);

  /// Valid once Next() returns kDone.
  const EditOutcome& outcome() const { return outcome_; }

 private:
  /// Which edit made revision `made_from + 1` according to a table's history. kNone: the table is
  /// older; kNotInHistory: the history no longer holds that revision.
  enum class Successor : std::uint8_t { kNone, kOwn, kOther, kNotInHistory };

  Successor SuccessorIn(const table::Table& table) const;
  void OnTable(StoreVersion version, table::Table table);
  void OnAbsent();
  void Prepare(StoreVersion version, const table::Table* base);
  void OnSuccessor(Successor successor, const table::Table& table);
  void Retry(EditAction::Kind kind);
  void GiveUp();
  void Finish(EditStatus status, std::string detail = "");

  EditRequest request_;
  EditAction::Kind next_ = EditAction::Kind::kRead;
  bool pauses_ = false;
  int calls_ = 0;
  /// Every swap of this plan has the same expected version and value, so at most one takes effect.
  std::optional<StoreVersion> expected_;
  std::string value_;
  /// The table the edit was made from; empty until it is read.
  std::optional<table::Table> base_;
  /// A swap was sent whose effect is unknown. Never cleared; only the history of a table that is
  /// read later shows whether the swap took effect.
  bool has_unresolved_write_;
  bool saw_conflict_ = false;
  EditOutcome outcome_;
};

/// Runs the plan against a store. Calls `pause`, which waits a short time, before each retry.
template <TableStore Store, std::invocable Pause>
const EditOutcome& RunEdit(EditPlan& plan, Store& store, Pause pause) {
  for (EditAction action = plan.Next(); action.kind != EditAction::Kind::kDone;
       action = plan.Next()) {
    if (action.pauses) {
      std::invoke(pause);
    }
    if (action.kind == EditAction::Kind::kRead) {
      plan.OnRead(store.ReadTable());
    } else {
      plan.OnSwap(store.SwapTable(action.expected, action.value));
    }
  }
  return plan.outcome();
}

}  // namespace mangonotch::publication
