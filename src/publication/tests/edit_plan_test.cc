// Guards against an edit that is applied twice, and against a reported outcome that contradicts the
// contents of the store.
#include "publication/edit_plan.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "publication/tests/table_samples.h"

namespace mangonotch::publication {
namespace {

constexpr std::uint32_t kWeight = 101;

EditRequest Request(base::Revision made_from, std::uint32_t weight = kWeight,
                    std::string edit_id = "mine") {
  EditRequest request;
  request.edited = MakeTable(made_from, weight);
  request.author = "berta";
  request.edit_id = std::move(edit_id);
  request.summary = "more weight";
  request.is_confirmed = true;
  return request;
}

void DoNothing() {}

EditOutcome Run(FaultyStore& store, EditRequest request) {
  EditPlan plan(std::move(request));
  return RunEdit(plan, store, DoNothing);
}

FaultyStore StoreWith(base::Revision revision, std::vector<StoreFault> script = {}) {
  FaultyStore store(std::move(script));
  store.Put(MakeTable(revision));
  return store;
}

int TimesApplied(const FaultyStore& store, std::string_view edit_id) {
  const auto history = store.Current().history;
  return static_cast<int>(std::count_if(
      history.begin(), history.end(), [&](const auto& entry) { return entry.edit_id == edit_id; }));
}

}  // namespace

TEST_CASE("An edit becomes the next revision with its author, identifier and history") {
  FaultyStore store = StoreWith(7);
  const EditOutcome outcome = Run(store, Request(7));
  REQUIRE(outcome.status == EditStatus::kInForce);
  REQUIRE(outcome.revision == 8);
  REQUIRE(outcome.changes.size() == 1);
  const table::Table table = store.Current();
  REQUIRE(table.revision == 8);
  REQUIRE(table.author == "berta");
  REQUIRE(table.edit_id == "mine");
  REQUIRE(table.history.back().summary == "more weight");
  REQUIRE(table.services[0].targets[0].weight == kWeight);
}

TEST_CASE("The history keeps the last 64 edits") {
  FaultyStore store = StoreWith(1);
  for (base::Revision n = 1; n <= 70; ++n) {
    const auto weight = static_cast<std::uint32_t>(100 + n);
    REQUIRE(Run(store, Request(n, weight, "e" + std::to_string(n))).status == EditStatus::kInForce);
  }
  const auto history = store.Current().history;
  REQUIRE(history.size() == table::kHistoryLength);
  REQUIRE(history.front().revision == 8);
  REQUIRE(history.back().revision == 71);
}

TEST_CASE(
    "The later of two conflicting edits reports the changes of the other and writes nothing") {
  FaultyStore store = StoreWith(7);
  EditRequest other = Request(7, 55, "theirs");
  other.author = "cecil";
  REQUIRE(Run(store, other).status == EditStatus::kInForce);
  const EditOutcome outcome = Run(store, Request(7));
  REQUIRE(outcome.status == EditStatus::kConflict);
  REQUIRE(outcome.other_edits.size() == 1);
  REQUIRE(outcome.other_edits[0].author == "cecil");
  REQUIRE(outcome.other_changes.size() == 1);
  REQUIRE(TimesApplied(store, "mine") == 0);
  REQUIRE(outcome.Text().find("cecil") != std::string::npos);
}

TEST_CASE(
    "A conflict after the first read reports changes since the table the edit was made from") {
  FaultyStore store = StoreWith(7);
  EditPlan plan(Request(7));
  plan.OnRead(store.ReadTable());
  REQUIRE(Run(store, Request(7, 55, "theirs")).status == EditStatus::kInForce);
  const EditOutcome& outcome = RunEdit(plan, store, DoNothing);
  REQUIRE(outcome.status == EditStatus::kConflict);
  REQUIRE(outcome.is_other_since_base);
  REQUIRE(outcome.other_changes.at(0).before == "100");
  REQUIRE(outcome.other_changes.at(0).after == "55");
}

TEST_CASE("After a lost response the edit is found in the store, also below a later edit") {
  FaultyStore store = StoreWith(7, {StoreFault::kNone, StoreFault::kAnswerLost});
  SECTION("alone") { REQUIRE(Run(store, Request(7)).status == EditStatus::kInForce); }
  SECTION("with another edit on top") {
    EditPlan plan(Request(7));
    plan.OnRead(store.ReadTable());
    const EditAction swap = plan.Next();
    plan.OnSwap(store.SwapTable(swap.expected, swap.value));
    REQUIRE(Run(store, Request(8, 55, "theirs")).status == EditStatus::kInForce);
    const EditOutcome& outcome = RunEdit(plan, store, DoNothing);
    REQUIRE(outcome.status == EditStatus::kInForce);
    REQUIRE(outcome.other_edits.size() == 1);
  }
  REQUIRE(TimesApplied(store, "mine") == 1);
}

TEST_CASE(
    "A write lost in transit is retried, and a stale read does not cause it to be applied twice") {
  SECTION("lost before it took effect") {
    FaultyStore store = StoreWith(7, {StoreFault::kNone, StoreFault::kLostBeforeEffect});
    REQUIRE(Run(store, Request(7)).status == EditStatus::kInForce);
    REQUIRE(TimesApplied(store, "mine") == 1);
  }
  SECTION("took effect, and the following read is stale") {
    FaultyStore store = StoreWith(7, {StoreFault::kNone, StoreFault::kAnswerLost,
                                      StoreFault::kStale, StoreFault::kNone, StoreFault::kStale});
    REQUIRE(Run(store, Request(7)).status == EditStatus::kInForce);
    REQUIRE(store.version() == 2);
  }
}

TEST_CASE("With the store down the outcome is certain only if no write was sent") {
  const std::vector<StoreFault> down(EditPlan::kMaxCalls, StoreFault::kUnavailable);
  SECTION("no write was sent: certain") {
    FaultyStore store = StoreWith(7, down);
    REQUIRE(Run(store, Request(7)).status == EditStatus::kNotInForce);
    REQUIRE(store.calls() == EditPlan::kMaxCalls);
  }
  SECTION("a write without a response: unknown until a later run with the same identifier") {
    std::vector<StoreFault> script = {StoreFault::kNone, StoreFault::kDelayed};
    script.insert(script.end(), down.begin(), down.end() - 2);
    FaultyStore store = StoreWith(7, script);
    const EditOutcome outcome = Run(store, Request(7));
    REQUIRE(outcome.status == EditStatus::kUnknown);
    REQUIRE(outcome.Text().find("--edit-id mine") != std::string::npos);
    store.DeliverDelayed();
    EditRequest again = Request(7);
    again.may_have_been_sent = true;
    REQUIRE(Run(store, again).status == EditStatus::kInForce);
    REQUIRE(store.version() == 2);
  }
}

TEST_CASE(
    "After 64 later edits the outcome of a lost response stays unknown instead of a conflict") {
  FaultyStore store = StoreWith(7);
  REQUIRE(Run(store, Request(7)).status == EditStatus::kInForce);
  for (base::Revision n = 8; n < 8 + table::kHistoryLength; ++n) {
    Run(store, Request(n, static_cast<std::uint32_t>(200 + n), "e" + std::to_string(n)));
  }
  EditRequest again = Request(7);
  again.may_have_been_sent = true;
  REQUIRE(Run(store, again).status == EditStatus::kUnknown);
  REQUIRE(Run(store, Request(7, 5, "new")).status == EditStatus::kConflict);
}

TEST_CASE("Risky, empty and oversized edits write nothing") {
  FaultyStore store = StoreWith(7);
  EditRequest risky = Request(7);
  risky.edited.services[0].targets[0].slots = 3;
  risky.is_confirmed = false;
  REQUIRE(Run(store, risky).status == EditStatus::kNeedsConfirmation);
  REQUIRE(Run(store, Request(7, 100)).status == EditStatus::kNoChange);
  EditRequest large = Request(7);
  large.summary = std::string(table::kMaxTableBytes, 'x');
  REQUIRE(Run(store, large).status == EditStatus::kInvalid);
  REQUIRE(store.version() == 1);
}

TEST_CASE("An edit of an empty store gets the revision after the file's, so that hosts accept it") {
  FaultyStore store({});
  REQUIRE(Run(store, Request(57)).status == EditStatus::kInForce);
  REQUIRE(store.Current().revision == 58);
}

TEST_CASE(
    "Under any sequence of faults an edit is applied at most once and its outcome is correct") {
  REQUIRE(rc::check([](const std::vector<std::uint8_t>& raw, bool other_between) {
    std::vector<StoreFault> script;
    script.reserve(raw.size());
    for (const std::uint8_t n : raw) {
      script.push_back(static_cast<StoreFault>(n % 6));
    }
    FaultyStore store = StoreWith(7, script);
    EditPlan plan(Request(7));
    int step = 0;
    const auto disturb = [&] {
      if (++step % 2 == 0) {
        store.DeliverDelayed();
      } else if (other_between) {
        EditRequest other =
            Request(store.Current().revision, static_cast<std::uint32_t>(300 + step),
                    "other" + std::to_string(step));
        Run(store, other);
      }
    };
    const EditOutcome& outcome = RunEdit(plan, store, disturb);
    const int applied_at_end = TimesApplied(store, "mine");
    store.DeliverDelayed();
    const int applied = TimesApplied(store, "mine");
    RC_ASSERT(applied <= 1);
    if (outcome.status == EditStatus::kInForce) {
      RC_ASSERT(applied_at_end == 1);
    } else if (outcome.status != EditStatus::kUnknown) {
      RC_ASSERT(applied == 0);
    }
  }));
}

}  // namespace mangonotch::publication
