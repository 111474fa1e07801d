// One host's state machine for the lease of its region's coordinator. It renews the lease record as
// holder, watches it as standby, and takes it over once the holder's lease has certainly expired.
// It does no I/O: the caller carries out the decisions and so reaches the store and the peers.
//
// A holder acts until `hold_until`. Only a confirmed renewal moves that instant once it has passed;
// promises and messages from replaced standbys move it only before. So a standby that has ended, or
// that sends a promise, cannot have sent a takeover earlier.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/instant.h"
#include "membership/host_ref.h"
#include "shares/messages.h"
#include "shares/timing.h"

namespace mangonotch::shares {

/// Read the region's record, then call OnRecordRead or OnReadFailed. At most one read or write is
/// outstanding at a time; the next one follows only after the result has been reported.
struct ReadRecord {};

/// Replace the record if its store version is `expected_version` (0: if the record is absent), then
/// call OnWriteDone.
struct WriteRecord {
  RegionRecord record;
  std::uint64_t expected_version = 0;
};

struct SendPromiseRequest {
  membership::HostRef to;
  PromiseRequest request;
};

/// Sent without a request: by a stopping standby to the holder, and by a stopping holder to each
/// standby.
struct SendPromise {
  membership::HostRef to;
  Promise promise;
};

using LeaseDecision = std::variant<ReadRecord, WriteRecord, SendPromiseRequest, SendPromise>;
using LeaseDecisions = std::vector<LeaseDecision>;

enum class WriteResult : std::uint8_t { kAccepted, kConflict, kUnknown };

/// A live host of the region that can become its coordinator.
struct Candidate {
  membership::HostRef ref;
  std::string zone;
};

struct LeaseSettings {
  std::string region;
  membership::HostRef self;
  std::string zone;
  /// Longest time after the last confirmed renewal for which promises can extend the lease.
  base::Duration store_outage_limit = base::Duration::Seconds(14'400);
  /// A host reads the record when it has not heard from the holder for this long. Regions whose
  /// heartbeat interval exceeds half of this value need a longer one.
  base::Duration holder_silence = kHolderSilence;
};

class CoordinatorLease {
 public:
  CoordinatorLease(LeaseSettings settings, base::Instant now);

  /// Must be called at least every 250 ms.
  LeaseDecisions Tick(base::Instant now);
  /// `record` is empty if the store has none; `version` is its version in the store.
  LeaseDecisions OnRecordRead(const std::optional<RegionRecord>& record, std::uint64_t version,
                              base::Instant now);
  LeaseDecisions OnReadFailed(base::Instant now);
  /// `version` is the new version in the store after kAccepted; otherwise it is ignored.
  LeaseDecisions OnWriteDone(WriteResult result, std::uint64_t version, base::Instant now);
  std::optional<Promise> OnPromiseRequest(const PromiseRequest& request, base::Instant now);
  void OnPromise(const Promise& promise, base::Instant now);
  /// Sets the live hosts of the region, best coordinator first, without leaving hosts.
  void OnCandidates(std::span<const Candidate> candidates, base::Instant now);
  /// `current` has sent a message and is known to be the current incarnation at its peer address,
  /// so all former ones there have ended. Must be called for each message: incarnations have no
  /// order, so only a message received well after a record named another incarnation shows that
  /// `current` is the later one.
  void OnIncarnationConfirmed(const membership::HostRef& current, base::Instant now);
  /// The holder has answered a heartbeat of this host.
  void OnHolderReply(base::Epoch epoch, base::Instant now);
  /// Sets the hosts that the next renewal names as grantees: Ledger::WantedGrantees, set before
  /// each Tick. A takeover resets them to the inherited ones.
  void SetGrantees(std::vector<membership::HostRef> grantees);
  /// Stops gracefully: this host no longer renews or takes over the lease.
  LeaseDecisions Stop(base::Instant now);

  /// True while this host may grant slots. Must be checked again after every wait.
  bool IsHolder(base::Instant now) const { return now < hold_until(); }
  /// Epoch of the newest known record, or 0 without one.
  base::Epoch epoch() const { return record_ ? record_->epoch : 0; }
  /// Holder of the newest known record, or null.
  const membership::HostRef* holder() const { return record_ ? &record_->holder : nullptr; }
  const std::optional<RegionRecord>& record() const { return record_; }
  /// True if every record that the store may contain names `host` as a grantee.
  bool IsGrantee(const membership::HostRef& host) const;
  /// When the takeover write was sent. All grants of former coordinators are older. Valid only
  /// while this host is the holder.
  base::Instant took_over_at() const { return took_over_at_; }
  /// Grantees of the record that was taken over. A new ledger waits for their reports.
  std::span<const membership::HostRef> inherited_grantees() const { return inherited_; }

 private:
  /// A write that was sent and may have taken effect or may still take effect.
  struct PendingWrite {
    RegionRecord record;
    std::uint64_t expected_version = 0;
    base::Instant sent;
  };

  /// A standby named by a record that the store may contain.
  struct Standby {
    membership::HostRef ref;
    /// When the first write that names it was sent.
    base::Instant named_at;
    /// The standby does not take over before this instant. Never if it has ended or has stopped
    /// gracefully.
    base::Instant earliest_takeover;
  };

  struct IncarnationConfirmation {
    membership::HostRef current;
    base::Instant heard_at;
  };

  struct PromiseRound {
    std::uint64_t sequence = 0;
    base::Instant sent;
  };

  /// The holder has stopped gracefully and no longer acts, so a standby need not wait for the lease
  /// to expire.
  void OnRelease(const Promise& promise, base::Instant now);
  bool OwnsRecord() const { return record_ && record_->holder == settings_.self; }
  bool IsNamedStandby() const;
  /// True if a message shows that `host`, known to this host since `known_at`, has ended.
  bool HasEnded(const membership::HostRef& host, base::Instant known_at) const;
  base::Instant hold_until() const;
  bool MayTakeOver(base::Instant now) const;
  bool IsRecordAbandoned(base::Instant now) const;
  bool MayCreate(base::Instant now) const;

  void TickHolder(base::Instant now, LeaseDecisions& out);
  void TickNonHolder(base::Instant now, LeaseDecisions& out);
  void Read(base::Instant now, LeaseDecisions& out);
  void Write(RegionRecord record, base::Instant now, LeaseDecisions& out);
  void RequestPromises(base::Instant now, LeaseDecisions& out);
  RegionRecord RenewedRecord() const;
  RegionRecord TakeoverRecord() const;
  std::vector<membership::HostRef> ChooseStandbys() const;
  std::uint64_t NextRenewal() const;
  void ConfirmWrite(const PendingWrite& write, std::uint64_t version);
  void AdoptRecord(const std::optional<RegionRecord>& record, std::uint64_t version,
                   base::Instant now);
  void TrackStandbys(const RegionRecord& record, base::Instant sent);

  LeaseSettings settings_;
  bool stopped_ = false;
  std::vector<Candidate> candidates_;
  std::vector<membership::HostRef> grantees_;
  /// The last message from each peer address.
  std::vector<IncarnationConfirmation> incarnation_confirmations_;

  /// Newest record known to have been in the store, with its version.
  std::optional<RegionRecord> record_;
  std::uint64_t version_ = 0;
  bool record_known_ = false;
  /// The record has not changed since this instant, as far as this host knows.
  base::Instant unchanged_since_;

  /// Writes with an unknown result, all conditional on `version_`; cleared once the version has
  /// changed.
  std::vector<PendingWrite> pending_writes_;
  bool write_in_progress_ = false;
  bool read_in_progress_ = false;
  /// A write ended with an unknown result or a conflict, so the record must be read.
  bool must_read_ = true;
  base::Instant next_read_;
  base::Instant next_write_;

  /// End of the lease term and of the store outage limit, counted from the last confirmed write.
  base::Instant term_until_;
  base::Instant outage_limit_at_;
  base::Instant next_promise_request_;
  std::vector<Standby> standbys_;
  std::vector<PromiseRound> rounds_;
  std::uint64_t promise_sequence_ = 0;

  /// This host has promised not to take over before this instant.
  base::Instant promised_until_;
  base::Instant holder_silent_at_;
  /// Epoch whose holder has stopped gracefully, or 0.
  base::Epoch released_epoch_ = 0;
  base::Instant created_at_;

  /// Epoch of this host's last confirmed takeover.
  base::Epoch acting_epoch_ = 0;
  base::Instant took_over_at_;
  std::vector<membership::HostRef> inherited_;
};

}  // namespace mangonotch::shares
