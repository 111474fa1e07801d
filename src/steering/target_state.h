// What this process knows of one incarnation of a target beyond its record: work in flight, the
// load it reports, its failures and its speed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/instant.h"
#include "catalog/catalog.h"
#include "steering/attempt.h"
#include "steering/sliding_count.h"

namespace mangonotch::steering {

class TargetState {
 public:
  TargetState(catalog::Target record, std::string region);

  const catalog::Target& record() const { return record_; }
  const std::string& region() const { return region_; }
  /// Hash of the identifier; the same on every host.
  std::uint64_t key() const { return key_; }

  /// Takes over a newer record. A record of another incarnation resets all that was learnt.
  void Update(const catalog::Target& record, std::string_view region);
  /// False for a record that is gone.
  bool is_listed() const { return is_listed_; }
  void SetListed(bool is_listed) { is_listed_ = is_listed; }
  /// The target is cold until `until` at the least.
  void MarkCold(base::Instant until);
  bool IsCold(base::Instant now) const { return now < record_.cold_until; }

  void OnSent(base::Instant now);
  /// `had_free_slot` tells that the target had a free slot when the request was sent, so
  /// that `elapsed` is service time.
  void OnOutcome(const AttemptOutcome& outcome, base::Duration elapsed, bool had_free_slot,
                 base::Instant now);
  /// The attempt ended by this process's own decision and says nothing about the target.
  void OnCancelled();
  /// A request sent at `sent_at` got no answer in its time. A failure only when the target has
  /// answered nothing since: under load, answers are late everywhere.
  void OnTimedOut(base::Instant sent_at, base::Instant now);
  void SetPeerInFlight(std::uint32_t n) { peer_in_flight_ = n; }

  std::uint32_t own_in_flight() const { return own_in_flight_; }
  /// Requests at the target from all hosts, as far as known.
  std::uint32_t Load(base::Instant now) const;
  std::uint32_t slots() const { return record_.slots; }
  /// Sends of this host in the last second.
  std::uint32_t RecentSends(base::Instant now) { return recent_sends_.Count(now); }

  /// Nothing is sent until then, unless no other target is left.
  bool IsEjected(base::Instant now) const { return now < ejected_until_; }
  /// Share of the recent attempts that failed, 0 to 1.
  double failure_ratio() const { return failure_ratio_; }
  /// Time since the target last gave a sign of life while requests are in flight; zero otherwise.
  base::Duration SilentFor(base::Instant now) const;
  /// Recent service time; nothing before enough answers.
  std::optional<base::Duration> service_time(base::Instant now) const;
  /// Slowness that the target reported last, as a factor; 1 when the report is old.
  double ReportedSlowness(base::Instant now) const;
  /// Age of the target's last report of its load; a day when there is none.
  base::Duration ReportAge(base::Instant now) const;
  /// Another process answers at the address.
  void MarkMisdirected(base::Instant now);

 private:
  void CountFailure(base::Instant now);

  catalog::Target record_;
  std::string region_;
  std::uint64_t key_;
  bool is_listed_ = true;
  std::uint32_t own_in_flight_ = 0;
  std::uint32_t peer_in_flight_ = 0;
  SlidingCount recent_sends_;
  std::optional<LoadReport> report_;
  base::Instant report_at_;
  double failure_ratio_ = 0;
  std::uint32_t failures_in_a_row_ = 0;
  base::Instant ejected_until_;
  /// When the first of the requests now in flight was sent, or the last answer came.
  base::Instant last_sign_;
  double service_ms_ = 0;
  std::uint32_t service_samples_ = 0;
  base::Instant service_at_;
};

}  // namespace mangonotch::steering
