// An operator's edit of the table as a state machine: it asks for calls to the store and judges
// their answers. It never applies an edit twice and never calls one lost that took effect.
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
  /// Random; tells this edit from all others, also in a later run of the same command.
  std::string edit_id;
  std::string summary;
  /// The operator accepts the risks.
  bool is_confirmed = false;
  /// An earlier run with this edit identifier ended as unknown.
  bool may_have_been_sent = false;
};

/// The next call to the store.
struct EditAction {
  enum class Kind : std::uint8_t { kRead, kSwap, kDone };
  Kind kind = Kind::kDone;
  /// For kSwap. `value` is valid until the answer is handed over.
  StoreVersion expected = 0;
  std::string_view value;
  /// The last call failed: wait a moment before this one.
  bool pauses = false;
};

class EditPlan {
 public:
  /// Calls to the store before the plan gives up.
  static constexpr int kMaxCalls = 12;

  explicit EditPlan(EditRequest request);

  EditAction Next() const;
  /// Answer to a kRead action.
  void OnRead(const ReadAnswer& answer);
  /// Answer to a kSwap action.
  void OnSwap(SwapResult result);

  /// Valid once Next() returns kDone.
  const EditOutcome& outcome() const { return outcome_; }

 private:
  /// Where revision `made_from + 1` came from, as far as a table's history tells.
  enum class Successor : std::uint8_t { kNone, kOwn, kOther, kForgotten };

  Successor SuccessorIn(const table::Table& table) const;
  void OnTable(StoreVersion version, table::Table table);
  void OnAbsent();
  void Prepare(StoreVersion version, const table::Table* base);
  void OnSuccessor(Successor successor, const table::Table& table);
  void Repeat(EditAction::Kind kind);
  void GiveUp();
  void Finish(EditStatus status, std::string detail = "");

  EditRequest request_;
  EditAction::Kind next_ = EditAction::Kind::kRead;
  bool pauses_ = false;
  int calls_ = 0;
  /// Every swap of this plan has the same expected version and value, so at most one takes effect.
  std::optional<StoreVersion> expected_;
  std::string value_;
  /// The table the edit was made from, once read.
  std::optional<table::Table> base_;
  /// A swap was sent whose effect is not known. Cleared by nothing but a look at the history.
  bool is_sent_;
  bool saw_conflict_ = false;
  EditOutcome outcome_;
};

/// Runs the plan against a store. `pause` waits a moment between calls after a failure.
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
