// State that this process keeps for a target in addition to its record: requests in flight,
// reported load, failures and service time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "steering/attempt.h"
#include "steering/sliding_window_counter.h"
#include "steering/target_limit.h"
#include "steering/target_signals.h"
#include "steering/target_speed.h"

namespace mangonotch::steering {

class TargetState {
 public:
  TargetState(catalog::Target record, std::string region);

  const catalog::Target& record() const { return record_; }
  const std::string& region() const { return region_; }
  /// Hash of the identifier; the same on every host.
  std::uint64_t key() const { return key_; }

  /// Replaces the record. A record of another incarnation resets the load report, the limit, the
  /// signals, the failures, the ejection, the speed and what this host has marked as cold.
  void Update(const catalog::Target& record, std::string_view region);
  /// False if the target is missing from the current catalog.
  bool is_listed() const { return is_listed_; }
  void SetListed(bool is_listed) { is_listed_ = is_listed; }
  /// Treats the target as cold at least until `until`.
  void MarkCold(base::Instant until);
  bool IsCold(base::Instant now) const { return now < std::max(record_.cold_until, cold_mark_); }

  void OnSent(base::Instant now);
  /// `had_free_slot` is true if the target had a free slot when the request was sent, in which case
  /// `elapsed` is its service time.
  void OnOutcome(const AttemptOutcome& outcome, base::Duration elapsed, bool had_free_slot,
                 base::Instant now);
  /// The attempt was cancelled by this process, which says nothing about the target.
  void OnCancelled();
  /// A request sent at `sent_at` was not answered in time. This counts as a failure only if the
  /// target has answered no request since then: under load, answers are late at every target.
  void OnTimedOut(base::Instant sent_at, base::Instant now);
  void SetPeerInFlight(std::uint32_t n) { peer_in_flight_ = n; }

  std::uint32_t own_in_flight() const { return own_in_flight_; }
  /// Known requests at the target from all hosts.
  std::uint32_t Load(base::Instant now) const;
  std::uint32_t slots() const { return record_.slots; }
  /// Requests that this host sent to the target in the last second.
  std::uint32_t RecentSends(base::Instant now) { return recent_sends_.Count(now); }

  /// While ejected, the target gets requests only if no other target is available.
  bool IsEjected(base::Instant now) const { return now < ejected_until_; }
  /// Moving average of the share of attempts that failed, 0 to 1.
  double failure_ratio() const { return failure_ratio_; }
  /// Time since the last answer, or since the first of the requests in flight was sent if that is
  /// later; zero when no requests are in flight.
  base::Duration SilentFor(base::Instant now) const;
  const TargetSpeed& speed() const { return speed_; }
  /// Slowness that the target last reported, as a factor; 1 when there is no recent report.
  double ReportedSlowness(base::Instant now) const;
  /// Age of the target's last load report; one day when there is none.
  base::Duration ReportAge(base::Instant now) const;
  TargetLimit& limit() { return limit_; }
  const TargetLimit& limit() const { return limit_; }
  /// The target leaves, by its record or by its own answers, and gets no further requests.
  bool IsLeaving() const { return record_.is_draining || signals_.is_leaving(); }
  TargetSignals& signals() { return signals_; }
  const TargetSignals& signals() const { return signals_; }
  /// Ejects the target because another incarnation answers at its address.
  void MarkMisdirected(base::Instant now);

 private:
  void CountFailure(base::Instant now);

  catalog::Target record_;
  /// The target counts as cold until then, whatever its record says.
  base::Instant cold_mark_;
  std::string region_;
  std::uint64_t key_;
  bool is_listed_ = true;
  std::uint32_t own_in_flight_ = 0;
  std::uint32_t peer_in_flight_ = 0;
  SlidingWindowCounter recent_sends_;
  TargetLimit limit_;
  TargetSignals signals_;
  std::optional<LoadReport> report_;
  base::Instant report_at_;
  double failure_ratio_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  base::Instant ejected_until_;
  /// Time of the last answer or, if later, of the first send after no requests were in flight.
  base::Instant last_activity_;
  TargetSpeed speed_;
};

}  // namespace mangonotch::steering
