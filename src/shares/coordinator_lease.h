// One host's part in the lease of its region's coordinator: it renews the record as holder, watches
// it as standby, and takes it over when the holder's time has surely run out. The store and the
// peers are reached by whoever carries out the decisions.
//
// A holder acts while `hold_until` lies ahead. That instant moves only while it lies ahead, or by a
// confirmed renewal. So a standby that is gone, or promises, can have sent no takeover before.
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
/// asked for at a time, and none further until its outcome was reported.
struct ReadRecord {};

/// Replace the record when its store version is `expected_version` (0: when it is absent), then
/// call OnWriteDone.
struct WriteRecord {
  RegionRecord record;
  std::uint64_t expected_version = 0;
};

struct SendPromiseRequest {
  membership::HostRef to;
  PromiseRequest request;
};

/// Sent without a request by a standby that stops, and by a holder that stops to its standbys.
struct SendPromise {
  membership::HostRef to;
  Promise promise;
};

using LeaseDecision = std::variant<ReadRecord, WriteRecord, SendPromiseRequest, SendPromise>;
using LeaseDecisions = std::vector<LeaseDecision>;

enum class WriteResult : std::uint8_t { kAccepted, kConflict, kUnknown };

/// A live host of the region, in candidate order.
struct Candidate {
  membership::HostRef ref;
  std::string zone;
};

struct LeaseSettings {
  std::string region;
  membership::HostRef self;
  std::string zone;
  /// Longest time without a confirmed renewal that a holder may bridge with promises.
  base::Duration store_outage_limit = base::Duration::Seconds(14'400);
  /// Silence of the holder after which a standby reads the record. Regions whose heartbeat interval
  /// exceeds half of it need more.
  base::Duration holder_silence = kHolderSilence;
};

class CoordinatorLease {
 public:
  CoordinatorLease(LeaseSettings settings, base::Instant now);

  /// To be called at least every 250 ms.
  LeaseDecisions Tick(base::Instant now);
  /// `record` is empty when the store holds none; `version` is the store's version of it.
  LeaseDecisions OnRecordRead(const std::optional<RegionRecord>& record, std::uint64_t version,
                              base::Instant now);
  LeaseDecisions OnReadFailed(base::Instant now);
  /// `version` is the store's new version after kAccepted; otherwise it is ignored.
  LeaseDecisions OnWriteDone(WriteResult result, std::uint64_t version, base::Instant now);
  std::optional<Promise> OnPromiseRequest(const PromiseRequest& request, base::Instant now);
  void OnPromise(const Promise& promise, base::Instant now);
  /// Live hosts of the region, best coordinator first; leaving hosts are left out.
  void OnCandidates(std::span<const Candidate> candidates, base::Instant now);
  /// `present` has sent a message and is known as the present incarnation at its peer address, so
  /// all former ones there are gone. To be called for each message, as incarnations have no order:
  /// only a message from long after another incarnation was named shows that it came later.
  void OnAttestation(const membership::HostRef& present, base::Instant now);
  /// The holder answered a heartbeat of this host.
  void OnHolderHeard(base::Epoch epoch, base::Instant now);
  /// Hosts that the next renewal names as grantees: Ledger::WantedGrantees, set before each Tick. A
  /// takeover resets them to the inherited ones.
  void SetGrantees(std::vector<membership::HostRef> grantees);
  /// Ends this host's part in order: it neither renews nor takes over any more.
  LeaseDecisions Stop(base::Instant now);

  /// True while this host may grant. Must be asked again after every wait.
  bool IsHolder(base::Instant now) const { return now < hold_until(); }
  /// Epoch of the newest record known, 0 without one.
  base::Epoch epoch() const { return record_ ? record_->epoch : 0; }
  /// Holder of the newest record known, or null.
  const membership::HostRef* holder() const { return record_ ? &record_->holder : nullptr; }
  const std::optional<RegionRecord>& record() const { return record_; }
  /// True when every record that the store may hold names `host` as a grantee.
  bool IsGrantee(const membership::HostRef& host) const;
  /// When the takeover write was sent; old grants were given before. Meaningful for a holder.
  base::Instant took_over_at() const { return took_over_at_; }
  /// Grantees of the record that was taken over; a new ledger waits for them.
  std::span<const membership::HostRef> inherited_grantees() const { return inherited_; }

 private:
  /// A write that was sent and may have taken effect, or may still do so.
  struct Attempt {
    RegionRecord record;
    std::uint64_t expected_version = 0;
    base::Instant sent;
  };

  /// A standby that some record names which the store may hold.
  struct Standby {
    membership::HostRef ref;
    /// When the first write that names it was sent.
    base::Instant named_at;
    /// It takes over no earlier. Never when it is gone or has promised for ever.
    base::Instant covered_until;
  };

  struct Attestation {
    membership::HostRef present;
    base::Instant heard_at;
  };

  struct PromiseRound {
    std::uint64_t sequence = 0;
    base::Instant sent;
  };

  /// The holder stops in order and acts no more, so a standby need not wait for its term to end.
  void OnRelease(const Promise& promise, base::Instant now);
  bool OwnsRecord() const { return record_ && record_->holder == settings_.self; }
  bool IsNamedStandby() const;
  /// A message shows that `host`, which was live at `known_at` at the earliest, is gone.
  bool IsGone(const membership::HostRef& host, base::Instant known_at) const;
  base::Instant hold_until() const;
  bool MayTakeOver(base::Instant now) const;
  bool IsRecordAbandoned(base::Instant now) const;
  bool MayCreate(base::Instant now) const;

  void TickHolder(base::Instant now, LeaseDecisions& out);
  void TickOther(base::Instant now, LeaseDecisions& out);
  void Read(base::Instant now, LeaseDecisions& out);
  void Write(RegionRecord record, base::Instant now, LeaseDecisions& out);
  void AskPromises(base::Instant now, LeaseDecisions& out);
  RegionRecord RenewedRecord() const;
  RegionRecord TakeoverRecord() const;
  std::vector<membership::HostRef> ChooseStandbys() const;
  std::uint64_t NextRenewal() const;
  void Confirm(const Attempt& attempt, std::uint64_t version);
  void AdoptForeign(const std::optional<RegionRecord>& record, std::uint64_t version,
                    base::Instant now);
  void CountStandbys(const RegionRecord& record, base::Instant sent);

  LeaseSettings settings_;
  bool stopped_ = false;
  std::vector<Candidate> candidates_;
  std::vector<membership::HostRef> grantees_;
  /// The last message from each peer address.
  std::vector<Attestation> attestations_;

  /// Newest record known to be in the store, with its version.
  std::optional<RegionRecord> record_;
  std::uint64_t version_ = 0;
  bool record_known_ = false;
  /// The record is known not to have changed from here on.
  base::Instant unchanged_since_;

  /// Writes of unknown result, all against `version_`; cleared once the version has moved on.
  std::vector<Attempt> attempts_;
  bool write_in_progress_ = false;
  bool read_in_progress_ = false;
  /// A write ended with an unknown result or a conflict, so the record must be read.
  bool must_read_ = true;
  base::Instant next_read_;
  base::Instant next_write_;

  /// End of the term, and of the longest time to bridge, of the last confirmed write.
  base::Instant term_until_;
  base::Instant outage_until_;
  base::Instant ask_promises_at_;
  std::vector<Standby> standbys_;
  std::vector<PromiseRound> rounds_;
  std::uint64_t promise_sequence_ = 0;

  /// This host takes over no earlier, as it has promised.
  base::Instant promised_until_;
  base::Instant silent_at_;
  /// Epoch whose holder has given up in order, 0 for none.
  base::Epoch released_epoch_ = 0;
  base::Instant created_at_;

  /// Epoch of this host's last confirmed takeover.
  base::Epoch acting_epoch_ = 0;
  base::Instant took_over_at_;
  std::vector<membership::HostRef> inherited_;
};

}  // namespace mangonotch::shares
