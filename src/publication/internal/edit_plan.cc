// State transitions of an edit.
#include "publication/edit_plan.h"

#include <algorithm>
#include <utility>

#include "jsonc/fault.h"

namespace mangonotch::publication {

EditPlan::EditPlan(EditRequest request)
    : request_(std::move(request)), has_unresolved_write_(request_.may_have_been_sent) {
  outcome_.edit_id = request_.edit_id;
  outcome_.made_from = request_.edited.revision;
  outcome_.revision = request_.edited.revision + 1;
}

EditAction EditPlan::Next() const {
  EditAction action{next_, 0, {}, pauses_};
  if (next_ == EditAction::Kind::kSwap) {
    action.expected = *expected_;
    action.value = value_;
  }
  return action;
}

void EditPlan::OnRead(const ReadAnswer& answer) {
  ++calls_;
  pauses_ = false;
  switch (answer.status) {
    case ReadAnswer::Status::kUnavailable:
      Retry(EditAction::Kind::kRead);
      return;
    case ReadAnswer::Status::kAbsent:
      OnAbsent();
      return;
    case ReadAnswer::Status::kFound:
      break;
  }
  std::optional<table::Table> table;
  try {
    table = table::Table::Parse(answer.value, "the store's table");
  } catch (const jsonc::FaultError& ex) {
    Finish(has_unresolved_write_ ? EditStatus::kUnknown : EditStatus::kNotInForce, ex.what());
    return;
  }
  OnTable(answer.version, std::move(*table));
}

void EditPlan::OnSwap(SwapResult result) {
  ++calls_;
  pauses_ = false;
  switch (result) {
    case SwapResult::kSwapped:
      Finish(EditStatus::kInForce);
      return;
    case SwapResult::kConflict:
      // After a lost response the conflicting write may be the edit's own first one.
      saw_conflict_ = true;
      next_ = EditAction::Kind::kRead;
      if (calls_ >= kMaxCalls) {
        GiveUp();
      }
      return;
    case SwapResult::kNotSent:
      Retry(EditAction::Kind::kSwap);
      return;
    case SwapResult::kAnswerLost:
      has_unresolved_write_ = true;
      Retry(EditAction::Kind::kRead);
      return;
  }
}

EditPlan::Successor EditPlan::SuccessorIn(const table::Table& table) const {
  if (table.revision < outcome_.revision) {
    return Successor::kNone;
  }
  // Only the entry of the next revision is relevant, since a swap from `made_from` can create no
  // other revision.
  const auto it = std::find_if(
      table.history.begin(), table.history.end(),
      [&](const table::HistoryEntry& entry) { return entry.revision == outcome_.revision; });
  if (it == table.history.end()) {
    return Successor::kNotInHistory;
  }
  return it->edit_id == request_.edit_id ? Successor::kOwn : Successor::kOther;
}

void EditPlan::OnTable(StoreVersion version, table::Table table) {
  const Successor successor = SuccessorIn(table);
  if (successor != Successor::kNone) {
    OnSuccessor(successor, table);
    return;
  }
  const bool is_base = table.revision == outcome_.made_from;
  if (!is_base || saw_conflict_ || (expected_ && *expected_ != version)) {
    // A stale read: the table is older than the operator's file or than a conflict that the store
    // reported.
    outcome_.detail = "the store shows revision " + std::to_string(table.revision) +
                      ", which is older than what it showed before or than the file";
    Retry(EditAction::Kind::kRead);
    return;
  }
  if (!expected_) {
    Prepare(version, &table);
    base_ = std::move(table);
  } else {
    Retry(EditAction::Kind::kSwap);
  }
}

void EditPlan::OnAbsent() {
  if (!expected_) {
    Prepare(0, nullptr);
  } else if (*expected_ == 0 && !saw_conflict_) {
    Retry(EditAction::Kind::kSwap);
  } else {
    Retry(EditAction::Kind::kRead);
  }
}

void EditPlan::Prepare(StoreVersion version, const table::Table* base) {
  if (base != nullptr) {
    outcome_.changes = table::Diff(*base, request_.edited);
    outcome_.risks = table::AssessRisks(*base, request_.edited);
    if (outcome_.changes.empty()) {
      Finish(EditStatus::kNoChange);
      return;
    }
    // An edit that may already have been sent was confirmed in the run that sent it.
    if (!outcome_.risks.empty() && !request_.is_confirmed && !has_unresolved_write_) {
      Finish(EditStatus::kNeedsConfirmation);
      return;
    }
  }
  table::Table next = request_.edited;
  next.revision = outcome_.revision;
  next.author = request_.author;
  next.time_unix_ms = request_.time_unix_ms;
  next.edit_id = request_.edit_id;
  // Takes the history from the store, since entries may be missing or changed in the operator's
  // file.
  next.history = base != nullptr ? base->history : request_.edited.history;
  next.history.push_back(
      {request_.edit_id, next.revision, request_.author, request_.time_unix_ms, request_.summary});
  if (next.history.size() > table::kHistoryLength) {
    next.history.erase(next.history.begin());
  }
  value_ = next.ToJson();
  try {
    table::Table::Parse(value_, "the edited table");
  } catch (const jsonc::FaultError& ex) {
    Finish(EditStatus::kInvalid, ex.what());
    return;
  }
  expected_ = version;
  next_ = EditAction::Kind::kSwap;
}

void EditPlan::OnSuccessor(Successor successor, const table::Table& table) {
  for (const table::HistoryEntry& entry : table.history) {
    if (entry.revision > outcome_.made_from && entry.edit_id != request_.edit_id) {
      outcome_.other_edits.push_back(entry);
    }
  }
  if (successor == Successor::kOwn) {
    Finish(EditStatus::kInForce);
    return;
  }
  outcome_.is_other_since_base = base_.has_value();
  outcome_.other_changes = table::Diff(base_ ? *base_ : request_.edited, table);
  if (successor == Successor::kNotInHistory && has_unresolved_write_) {
    Finish(EditStatus::kUnknown,
           "the history no longer reaches back to revision " + std::to_string(outcome_.revision));
    return;
  }
  Finish(EditStatus::kConflict);
}

void EditPlan::Retry(EditAction::Kind kind) {
  next_ = kind;
  pauses_ = true;
  if (calls_ >= kMaxCalls) {
    GiveUp();
  }
}

void EditPlan::GiveUp() {
  if (has_unresolved_write_) {
    Finish(EditStatus::kUnknown, std::move(outcome_.detail));
  } else if (saw_conflict_) {
    Finish(EditStatus::kConflict, "the other edit could not be read yet");
  } else {
    Finish(EditStatus::kNotInForce, std::move(outcome_.detail));
  }
}

void EditPlan::Finish(EditStatus status, std::string detail) {
  outcome_.status = status;
  outcome_.detail = std::move(detail);
  next_ = EditAction::Kind::kDone;
}

}  // namespace mangonotch::publication
