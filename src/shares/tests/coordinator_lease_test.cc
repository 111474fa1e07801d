// Guards against two coordinators of one region at one time, and against none for longer than the
// design allows.
#include "shares/coordinator_lease.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "lease_sim.h"

namespace mangonotch::shares {

namespace {

void RunFor(LeaseSim& sim, std::int64_t ms) {
  for (std::int64_t i = 0; i < ms; i += 50) {
    sim.Step();
    REQUIRE(sim.Holders() <= 1);
  }
}

/// Four hosts without faults until one holds the lease and has two standbys; returns the holder.
std::size_t Settle(LeaseSim& sim) {
  sim.Heal();
  RunFor(sim, 10'000);
  REQUIRE(sim.Holders() == 1);
  REQUIRE(sim.stored()->standbys.size() == 2);
  return sim.Holder();
}

std::size_t Index(const membership::HostRef& ref) { return std::stoul(ref.host); }

membership::HostRef Ref(const std::string& host) { return {host, host, 1}; }

/// A lease of host "b" that has read a record of "a" with standbys "b" and "c".
CoordinatorLease Standby() {
  CoordinatorLease lease({"north", Ref("b"), "z", base::Duration::Seconds(100)}, {});
  lease.OnCandidates(std::vector<Candidate>{{Ref("b"), "z"}, {Ref("c"), "z"}}, {});
  lease.Tick({});
  const RegionRecord record{4, Ref("a"), {Ref("b"), Ref("c")}, {Ref("x"), Ref("y")}, 9};
  lease.OnRecordRead(record, 17, {});
  return lease;
}

base::Instant At(std::int64_t ms) { return base::Instant() + base::Duration::Milliseconds(ms); }

PromiseRequest Request() { return {Ref("a"), "north", 4, 3}; }

const WriteRecord* WriteIn(const LeaseDecisions& decisions) {
  return decisions.empty() ? nullptr : std::get_if<WriteRecord>(&decisions[0]);
}

}  // namespace

TEST_CASE("At most one host holds the lease, whatever fails") {
  std::size_t held = 0;
  rc::prop("random faults, then healing", [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    LeaseSim sim(4, seed);
    if (seed % 2 == 0) {
      // Few enough faults that a holder lives through outages of the store.
      sim.faults = {20, 4, 10, 3, 3, 5, 5};
    }
    for (int i = 0; i < 6000; ++i) {
      sim.Step();
      RC_ASSERT(sim.Holders() <= 1U);
      held += sim.Holders();
    }
    sim.Heal();
    for (int i = 0; i < 2 * 20 * 60; ++i) {
      sim.Step();
      RC_ASSERT(sim.Holders() <= 1U);
    }
    RC_ASSERT(sim.Holders() == 1U);
  });
  // The faults leave some host the lease for at least a tenth of the steps.
  REQUIRE(held > 60'000);
}

TEST_CASE("A standby takes over a dead coordinator's lease within 8 s") {
  LeaseSim sim(4, 1);
  const std::size_t holder = Settle(sim);
  const RegionRecord before = *sim.stored();
  sim.Kill(holder, 60'000);
  RunFor(sim, 8'000);
  REQUIRE(sim.Holders() == 1);
  REQUIRE((sim.Holder() == Index(before.standbys[0]) || sim.Holder() == Index(before.standbys[1])));
  REQUIRE(sim.stored()->epoch == before.epoch + 1);
}

TEST_CASE("With promises a holder goes on without the store up to the outage limit, not longer") {
  LeaseSim sim(4, 2);
  const std::size_t holder = Settle(sim);
  sim.store_up = false;
  for (int i = 0; i < 37'000; i += 50) {
    sim.Step();
    REQUIRE(sim.IsHolder(holder));
  }
  RunFor(sim, 4'000);
  REQUIRE(sim.Holders() == 0);
  sim.store_up = true;
  RunFor(sim, 10'000);
  REQUIRE(sim.Holders() == 1);
}

TEST_CASE(
    "Without the store a standby that dies stops the holder, one that stops in order does not") {
  for (const bool in_order : {false, true}) {
    LeaseSim sim(4, 3);
    const std::size_t holder = Settle(sim);
    const std::size_t standby = Index(sim.stored()->standbys[0]);
    sim.store_up = false;
    RunFor(sim, 10'000);
    if (in_order) {
      sim.StopInOrder(standby);
      RunFor(sim, 200);
    }
    sim.Kill(standby, 60'000);
    RunFor(sim, 10'000);
    REQUIRE(sim.IsHolder(holder) == in_order);
  }
}

TEST_CASE("Without the store a standby that is replaced in time lets the holder go on") {
  LeaseSim sim(4, 4);
  const std::size_t holder = Settle(sim);
  sim.store_up = false;
  RunFor(sim, 10'000);
  sim.Kill(Index(sim.stored()->standbys[0]), 500);
  RunFor(sim, 10'000);
  REQUIRE(sim.IsHolder(holder));
}

TEST_CASE("When all hosts are replaced at once, one takes over without waiting for the limit") {
  LeaseSim sim(4, 5);
  Settle(sim);
  for (std::size_t i = 0; i < 4; ++i) {
    sim.Kill(i, 1'000);
  }
  RunFor(sim, 15'000);
  REQUIRE(sim.Holders() == 1);
}

TEST_CASE("A standby takes over only after the term, the margin and its promises") {
  CoordinatorLease lease = Standby();
  REQUIRE(WriteIn(lease.Tick(At(4'900))) == nullptr);
  lease.OnRecordRead(lease.record(), 17, At(4'950));
  REQUIRE(lease.OnPromiseRequest(Request(), At(4'960)));
  REQUIRE(WriteIn(lease.Tick(At(9'900))) == nullptr);
  lease.OnRecordRead(lease.record(), 17, At(9'950));
  const LeaseDecisions decisions = lease.Tick(At(10'000));
  const WriteRecord* write = WriteIn(decisions);
  REQUIRE(write != nullptr);
  REQUIRE(write->expected_version == 17);
  REQUIRE(write->record.epoch == 5);
  REQUIRE(write->record.grantees == lease.record()->grantees);
}

TEST_CASE("A takeover in progress or of unknown result allows no promise") {
  CoordinatorLease lease = Standby();
  const LeaseDecisions decisions = lease.Tick(At(5'000));
  const RegionRecord written = WriteIn(decisions)->record;
  REQUIRE_FALSE(lease.OnPromiseRequest(Request(), At(5'010)));
  lease.OnWriteDone(WriteResult::kUnknown, 0, At(7'000));
  REQUIRE_FALSE(lease.OnPromiseRequest(Request(), At(7'010)));
  // The record is unchanged, but the write may still arrive.
  lease.OnRecordRead(lease.record(), 17, At(7'100));
  REQUIRE_FALSE(lease.OnPromiseRequest(Request(), At(7'110)));

  SECTION("until the record shows that another host was first") {
    lease.OnWriteDone(WriteResult::kConflict, 0, At(7'200));
    lease.OnRecordRead(RegionRecord{5, Ref("c"), {Ref("b")}, {}, 10}, 18, At(7'300));
    PromiseRequest request = Request();
    REQUIRE_FALSE(lease.OnPromiseRequest(request, At(7'400)));
    request.epoch = 5;
    REQUIRE(lease.OnPromiseRequest(request, At(7'400)));
  }
  SECTION("and counts from its sending when the record shows that it took effect") {
    lease.OnWriteDone(WriteResult::kUnknown, 0, At(7'200));
    lease.OnRecordRead(written, 18, At(7'300));
    REQUIRE(lease.IsHolder(At(8'999)));
    REQUIRE_FALSE(lease.IsHolder(At(9'000)));
    REQUIRE(lease.took_over_at() == At(5'000));
  }
}

TEST_CASE("A grantee must be named by every record that the store may hold") {
  CoordinatorLease lease = Standby();
  lease.Tick(At(5'000));
  lease.OnWriteDone(WriteResult::kAccepted, 18, At(5'010));
  REQUIRE(lease.IsGrantee(Ref("x")));
  lease.SetGrantees({Ref("y"), Ref("z")});
  lease.Tick(At(6'500));
  REQUIRE_FALSE(lease.IsGrantee(Ref("x")));
  REQUIRE(lease.IsGrantee(Ref("y")));
  REQUIRE_FALSE(lease.IsGrantee(Ref("z")));
  lease.OnWriteDone(WriteResult::kAccepted, 19, At(6'510));
  REQUIRE(lease.IsGrantee(Ref("z")));
}

}  // namespace mangonotch::shares
