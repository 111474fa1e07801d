// Guards against a revision that decreases, and against a host that starts with a stale table.
#include "publication/table_state.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "publication/tests/table_samples.h"

namespace mangonotch::publication {
namespace {

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

const std::vector<base::HostId> peers = {"a", "b"};

}  // namespace

TEST_CASE("A revision in force is never replaced by an older one, whichever source offers it") {
  TableState state(peers);
  REQUIRE(state.Offer(Source::kPeer, Shared(5), At(0)) == OfferResult::kAccepted);
  for (const Source source : {Source::kStore, Source::kPeer, Source::kStart}) {
    REQUIRE(state.Offer(source, Shared(4), At(1)) == OfferResult::kOlder);
    REQUIRE(state.Count(source, OfferResult::kOlder) == 1);
  }
  REQUIRE(state.Offer(Source::kStore, Shared(5), At(1)) == OfferResult::kSame);
  REQUIRE(state.revision() == 5);
  REQUIRE(state.Offer(Source::kStore, Shared(6), At(1)) == OfferResult::kAccepted);
  REQUIRE(state.revision() == 6);
}

TEST_CASE("Different content with the revision in force is refused and counted") {
  TableState state(peers);
  state.Offer(Source::kPeer, Shared(5, 100), At(0));
  REQUIRE(state.Offer(Source::kStore, Shared(5, 99), At(0)) == OfferResult::kDifferentContent);
  REQUIRE(state.Count(Source::kStore, OfferResult::kDifferentContent) == 1);
  REQUIRE(state.current()->services[0].targets[0].weight == 100);
}

TEST_CASE("No sequence of offers lowers the revision") {
  REQUIRE(rc::check([](const std::vector<std::uint8_t>& revisions) {
    TableState state(peers);
    base::Revision highest = 0;
    for (const std::uint8_t n : revisions) {
      const base::Revision offered = n % 4 + 1U;
      state.Offer(static_cast<Source>(n / 4 % 3), Shared(offered), At(0));
      highest = std::max(highest, offered);
      RC_ASSERT(state.revision() == highest);
    }
  }));
}

TEST_CASE("A host without a table does not steer") {
  TableState state(peers);
  state.NoteEmptyStore();
  state.NotePeerRevision("a", 0);
  state.NotePeerRevision("b", 0);
  REQUIRE_FALSE(state.MaySteer(At(100'000)));
}

TEST_CASE("With only the store answering, a host waits for its peers since the read may be stale") {
  TableState state(peers);
  REQUIRE(state.NextCheck() == base::Instant::Never());
  state.Offer(Source::kStore, Shared(5), At(5'000));
  REQUIRE_FALSE(state.MaySteer(At(5'999)));
  REQUIRE(state.NextCheck() == At(6'000));
  REQUIRE(state.MaySteer(At(6'000)));
}

TEST_CASE("A stale read of the store does not start a host while a live peer has a newer table") {
  TableState state(peers);
  state.Offer(Source::kStore, Shared(5), At(0));
  state.NotePeerRevision("a", 6);
  REQUIRE_FALSE(state.MaySteer(At(100'000)));
  REQUIRE(state.PullFrom(0) == "a");
  SECTION("it starts with the pulled table") {
    state.Offer(Source::kPeer, Shared(6), At(100'001));
    REQUIRE(state.MaySteer(At(100'001)));
    REQUIRE_FALSE(state.PullFrom(0));
  }
  SECTION("or when the peer is gone") {
    state.NotePeerGone("a");
    REQUIRE(state.MaySteer(At(100'001)));
  }
}

TEST_CASE("A host starts at once when the store and all peers have answered") {
  TableState state(peers);
  state.Offer(Source::kStore, Shared(5), At(0));
  state.NotePeerRevision("a", 5);
  REQUIRE_FALSE(state.MaySteer(At(1)));
  state.NotePeerRevision("b", 4);
  REQUIRE(state.MaySteer(At(1)));
}

TEST_CASE(
    "A steering host that is behind keeps steering and pulls in rotation from the newest peers") {
  TableState state(peers);
  state.Offer(Source::kStore, Shared(5), At(0));
  REQUIRE(state.MaySteer(At(1'000)));
  state.NotePeerRevision("a", 7);
  state.NotePeerRevision("b", 7);
  state.NotePeerRevision("c", 6);
  REQUIRE(state.MaySteer(At(1'001)));
  REQUIRE(state.PullFrom(0) == "a");
  REQUIRE(state.PullFrom(1) == "b");
  REQUIRE(state.PullFrom(2) == "a");
}

}  // namespace mangonotch::publication
