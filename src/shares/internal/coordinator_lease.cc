#include "shares/coordinator_lease.h"

#include <algorithm>

namespace mangonotch::shares {

namespace {

/// Each lower rank waits this much longer before it creates a missing record, which limits write
/// conflicts.
constexpr base::Duration kCreateDelayPerRank = base::Duration::Seconds(1);
/// Longest time between sending and reading a message, in the network and the socket buffer
/// together.
constexpr base::Duration kMaxMessageAge = base::Duration::Seconds(5);

bool Contains(std::span<const membership::HostRef> hosts, const membership::HostRef& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

}  // namespace

CoordinatorLease::CoordinatorLease(LeaseSettings settings, base::Instant now)
    : settings_(std::move(settings)),
      next_read_(now),
      next_write_(now),
      term_until_(now),
      outage_limit_at_(now),
      holder_silent_at_(now + settings_.holder_silence),
      created_at_(now) {}

base::Instant CoordinatorLease::hold_until() const {
  if (!OwnsRecord() || stopped_) {
    return base::Instant();
  }
  base::Instant extended_until = outage_limit_at_;
  for (const Standby& it : standbys_) {
    extended_until = std::min(extended_until, it.earliest_takeover);
  }
  return std::max(term_until_, extended_until);
}

bool CoordinatorLease::IsGrantee(const membership::HostRef& host) const {
  return record_ && Contains(record_->grantees, host) &&
         std::all_of(pending_writes_.begin(), pending_writes_.end(),
                     [&](const PendingWrite& it) { return Contains(it.record.grantees, host); });
}

bool CoordinatorLease::IsNamedStandby() const {
  return record_ && Contains(record_->standbys, settings_.self);
}

bool CoordinatorLease::HasEnded(const membership::HostRef& host, base::Instant known_at) const {
  if (host.peer_address == settings_.self.peer_address) {
    return host.incarnation != settings_.self.incarnation;
  }
  return std::any_of(incarnation_confirmations_.begin(), incarnation_confirmations_.end(),
                     [&](const IncarnationConfirmation& it) {
                       return it.current.peer_address == host.peer_address &&
                              it.current.incarnation != host.incarnation &&
                              it.heard_at >= known_at + kMaxMessageAge;
                     });
}

LeaseDecisions CoordinatorLease::Tick(base::Instant now) {
  LeaseDecisions out;
  if (stopped_) {
    return out;
  }
  if (OwnsRecord()) {
    TickHolder(now, out);
  } else {
    TickNonHolder(now, out);
  }
  return out;
}

void CoordinatorLease::TickHolder(base::Instant now, LeaseDecisions& out) {
  if (now >= next_promise_request_) {
    RequestPromises(now, out);
  }
  if (write_in_progress_ || read_in_progress_) {
    return;
  }
  if (must_read_) {
    if (now >= next_read_) {
      Read(now, out);
    }
  } else if (now >= next_write_) {
    Write(RenewedRecord(), now, out);
  }
}

void CoordinatorLease::TickNonHolder(base::Instant now, LeaseDecisions& out) {
  if (write_in_progress_ || read_in_progress_) {
    return;
  }
  if (record_known_ && !must_read_ && now >= next_write_ && (MayTakeOver(now) || MayCreate(now))) {
    Write(TakeoverRecord(), now, out);
    return;
  }
  const bool is_silent = now >= holder_silent_at_;
  if (now >= next_read_ && (must_read_ || is_silent)) {
    Read(now, out);
  }
}

bool CoordinatorLease::MayTakeOver(base::Instant now) const {
  if (!record_ || now < promised_until_) {
    return false;
  }
  if (IsNamedStandby() && released_epoch_ == record_->epoch) {
    return true;
  }
  if (now < holder_silent_at_) {
    return false;
  }
  if (IsNamedStandby()) {
    return now >= unchanged_since_ + kLeaseTerm + kClockMargin;
  }
  return IsRecordAbandoned(now);
}

bool CoordinatorLease::IsRecordAbandoned(base::Instant now) const {
  if (now >= unchanged_since_ + settings_.store_outage_limit + kLeaseTerm + kClockMargin) {
    return true;
  }
  const auto has_ended = [this](const membership::HostRef& it) {
    return HasEnded(it, unchanged_since_);
  };
  return has_ended(record_->holder) &&
         std::all_of(record_->standbys.begin(), record_->standbys.end(), has_ended);
}

bool CoordinatorLease::MayCreate(base::Instant now) const {
  if (record_) {
    return false;
  }
  const auto it = std::find_if(candidates_.begin(), candidates_.end(),
                               [this](const Candidate& c) { return c.ref == settings_.self; });
  const auto rank = static_cast<std::int64_t>(it - candidates_.begin());
  return it != candidates_.end() && now >= created_at_ + kCreateDelayPerRank * rank;
}

void CoordinatorLease::Read(base::Instant now, LeaseDecisions& out) {
  read_in_progress_ = true;
  const bool is_frequent =
      OwnsRecord() || IsNamedStandby() || !pending_writes_.empty() || !record_known_;
  next_read_ = now + (is_frequent ? kStandbyReadInterval : kOtherReadInterval);
  out.emplace_back(ReadRecord{});
}

void CoordinatorLease::Write(RegionRecord record, base::Instant now, LeaseDecisions& out) {
  write_in_progress_ = true;
  next_write_ = now + kRenewInterval;
  if (OwnsRecord()) {
    TrackStandbys(record, now);
  }
  pending_writes_.push_back({record, version_, now});
  out.emplace_back(WriteRecord{std::move(record), version_});
}

std::uint64_t CoordinatorLease::NextRenewal() const {
  std::uint64_t renewal = record_ ? record_->renewal : 0;
  for (const PendingWrite& it : pending_writes_) {
    renewal = std::max(renewal, it.record.renewal);
  }
  return renewal + 1;
}

std::vector<membership::HostRef> CoordinatorLease::ChooseStandbys() const {
  std::vector<membership::HostRef> chosen;
  for (const bool other_zone : {true, false}) {
    for (const Candidate& it : candidates_) {
      const bool is_match = (it.zone != settings_.zone) == other_zone;
      if (is_match && chosen.size() < kMaxStandbys && it.ref != settings_.self) {
        chosen.push_back(it.ref);
      }
    }
  }
  return chosen;
}

RegionRecord CoordinatorLease::RenewedRecord() const {
  RegionRecord record = *record_;
  // Standbys change only while the store responds: a change of unknown result would add to the
  // hosts whose promises are needed.
  if (pending_writes_.empty()) {
    record.standbys = ChooseStandbys();
    record.grantees = grantees_;
  } else {
    record.standbys = pending_writes_.back().record.standbys;
    record.grantees = pending_writes_.back().record.grantees;
  }
  record.renewal = NextRenewal();
  return record;
}

RegionRecord CoordinatorLease::TakeoverRecord() const {
  RegionRecord record;
  record.epoch = epoch() + 1;
  record.holder = settings_.self;
  record.standbys = ChooseStandbys();
  if (record_) {
    // The new ledger waits for their reports and drops them once they can no longer hold slots.
    record.grantees = record_->grantees;
  }
  record.renewal = NextRenewal();
  return record;
}

void CoordinatorLease::TrackStandbys(const RegionRecord& record, base::Instant sent) {
  for (const membership::HostRef& it : record.standbys) {
    const bool is_known = std::any_of(standbys_.begin(), standbys_.end(),
                                      [&](const Standby& s) { return s.ref == it; });
    if (!is_known) {
      // It reads the record after `sent`, and takes over kLeaseTerm + kClockMargin later at the
      // earliest.
      standbys_.push_back({it, sent, sent + kLeaseTerm});
    }
  }
}

LeaseDecisions CoordinatorLease::OnWriteDone(WriteResult result, std::uint64_t version,
                                             base::Instant now) {
  write_in_progress_ = false;
  if (pending_writes_.empty()) {
    return Tick(now);
  }
  if (result == WriteResult::kAccepted) {
    const PendingWrite write = pending_writes_.back();
    ConfirmWrite(write, version);
    return Tick(now);
  }
  must_read_ = true;
  if (result == WriteResult::kConflict) {
    next_read_ = now;
  }
  return Tick(now);
}

void CoordinatorLease::ConfirmWrite(const PendingWrite& write, std::uint64_t version) {
  if (acting_epoch_ != write.record.epoch) {
    acting_epoch_ = write.record.epoch;
    inherited_ = write.record.grantees;
    grantees_ = inherited_;
    took_over_at_ = write.sent;
    standbys_.clear();
    rounds_.clear();
  }
  record_ = write.record;
  version_ = version;
  record_known_ = true;
  unchanged_since_ = write.sent;
  term_until_ = write.sent + kLeaseTerm;
  outage_limit_at_ = write.sent + settings_.store_outage_limit;
  next_promise_request_ = write.sent + kPromiseRequestDelay;
  next_write_ = write.sent + kRenewInterval;
  must_read_ = false;
  pending_writes_.clear();
  std::erase_if(standbys_,
                [this](const Standby& it) { return !Contains(record_->standbys, it.ref); });
  TrackStandbys(*record_, write.sent);
}

LeaseDecisions CoordinatorLease::OnRecordRead(const std::optional<RegionRecord>& record,
                                              std::uint64_t version, base::Instant now) {
  read_in_progress_ = false;
  // A read that overlaps a write may return the value from before it, and a store may return a
  // stale value.
  if (write_in_progress_ || (record_known_ && version < version_)) {
    return Tick(now);
  }
  if (record_known_ && version == version_) {
    must_read_ = false;
    return Tick(now);
  }
  const auto it =
      std::find_if(pending_writes_.begin(), pending_writes_.end(), [&](const PendingWrite& a) {
        return record && record->epoch == a.record.epoch && record->holder == a.record.holder &&
               record->renewal == a.record.renewal;
      });
  if (it != pending_writes_.end()) {
    const PendingWrite write = *it;
    ConfirmWrite(write, version);
  } else {
    AdoptRecord(record, version, now);
  }
  return Tick(now);
}

void CoordinatorLease::AdoptRecord(const std::optional<RegionRecord>& record, std::uint64_t version,
                                   base::Instant now) {
  record_ = record;
  version_ = version;
  record_known_ = true;
  unchanged_since_ = now;
  pending_writes_.clear();
  must_read_ = false;
  next_write_ = now;
  standbys_.clear();
  rounds_.clear();
  inherited_.clear();
  term_until_ = base::Instant();
  outage_limit_at_ = base::Instant();
  next_promise_request_ = base::Instant::Never();
}

LeaseDecisions CoordinatorLease::OnReadFailed(base::Instant now) {
  read_in_progress_ = false;
  return Tick(now);
}

void CoordinatorLease::RequestPromises(base::Instant now, LeaseDecisions& out) {
  if (!IsHolder(now)) {
    return;
  }
  next_promise_request_ = now + kPromiseInterval;
  ++promise_sequence_;
  rounds_.push_back({promise_sequence_, now});
  std::erase_if(rounds_, [&](const PromiseRound& it) { return it.sent + kPromiseTerm <= now; });
  for (const Standby& it : standbys_) {
    if (it.earliest_takeover != base::Instant::Never()) {
      PromiseRequest request{settings_.self, settings_.region, epoch(), promise_sequence_};
      out.emplace_back(SendPromiseRequest{it.ref, std::move(request)});
    }
  }
}

std::optional<Promise> CoordinatorLease::OnPromiseRequest(const PromiseRequest& request,
                                                          base::Instant now) {
  const bool may_take_effect = write_in_progress_ || !pending_writes_.empty();
  if (request.region != settings_.region || request.epoch < epoch() || OwnsRecord() ||
      may_take_effect) {
    return std::nullopt;
  }
  promised_until_ = std::max(promised_until_, now + kPromiseTerm + kClockMargin);
  return Promise{settings_.self, settings_.region, request.epoch, request.sequence, stopped_};
}

void CoordinatorLease::OnRelease(const Promise& promise, base::Instant now) {
  if (promise.epoch != record_->epoch) {
    return;
  }
  released_epoch_ = promise.epoch;
  must_read_ = true;
  next_read_ = std::min(next_read_, now);
}

void CoordinatorLease::OnPromise(const Promise& promise, base::Instant now) {
  const bool is_from_holder = record_ && promise.sender == record_->holder;
  if (promise.region == settings_.region && promise.forever && is_from_holder) {
    OnRelease(promise, now);
    return;
  }
  if (promise.region != settings_.region || promise.epoch != epoch() || !IsHolder(now)) {
    return;
  }
  const auto round = std::find_if(rounds_.begin(), rounds_.end(), [&](const PromiseRound& it) {
    return it.sequence == promise.sequence;
  });
  for (Standby& it : standbys_) {
    if (it.ref.peer_address != promise.sender.peer_address) {
      continue;
    }
    const bool is_answer = round != rounds_.end() && round->sent >= it.named_at;
    const bool is_successor = it.ref.incarnation != promise.sender.incarnation;
    if (is_successor ? is_answer : promise.forever) {
      it.earliest_takeover = base::Instant::Never();
    } else if (is_answer) {
      it.earliest_takeover = std::max(it.earliest_takeover, round->sent + kPromiseTerm);
    }
  }
}

void CoordinatorLease::OnCandidates(std::span<const Candidate> candidates, base::Instant now) {
  (void)now;
  candidates_.assign(candidates.begin(), candidates.end());
}

void CoordinatorLease::OnIncarnationConfirmed(const membership::HostRef& current,
                                              base::Instant now) {
  std::erase_if(incarnation_confirmations_, [&](const IncarnationConfirmation& it) {
    return it.current.peer_address == current.peer_address;
  });
  incarnation_confirmations_.push_back({current, now});
  if (!IsHolder(now)) {
    return;
  }
  for (Standby& it : standbys_) {
    if (HasEnded(it.ref, it.named_at)) {
      it.earliest_takeover = base::Instant::Never();
    }
  }
}

void CoordinatorLease::OnHolderReply(base::Epoch heard_epoch, base::Instant now) {
  if (heard_epoch >= epoch()) {
    holder_silent_at_ = now + settings_.holder_silence;
  }
}

void CoordinatorLease::SetGrantees(std::vector<membership::HostRef> grantees) {
  grantees_ = std::move(grantees);
}

LeaseDecisions CoordinatorLease::Stop(base::Instant now) {
  LeaseDecisions out;
  const bool may_promise = !OwnsRecord() && !write_in_progress_ && pending_writes_.empty();
  if (!stopped_ && may_promise && IsNamedStandby()) {
    Promise promise{settings_.self, settings_.region, epoch(), 0, true};
    out.emplace_back(SendPromise{record_->holder, std::move(promise)});
  }
  if (!stopped_ && OwnsRecord()) {
    for (const membership::HostRef& it : record_->standbys) {
      out.emplace_back(
          SendPromise{it, Promise{settings_.self, settings_.region, epoch(), 0, true}});
    }
  }
  stopped_ = true;
  promised_until_ = std::max(promised_until_, now);
  return out;
}

}  // namespace mangonotch::shares
