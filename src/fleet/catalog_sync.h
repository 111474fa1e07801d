// Decides from which host, if any, to fetch changes of the catalog. A host that does not watch the
// store follows one that does. Any host that stays behind another one fetches from that one,
// whatever its own source or its own store watches say: a watch on a silent connection looks like
// a store in which nothing changes. A host that has listed the store's entries fetches once from
// another one: an entry may hold an older report of its target than the other has read.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/instant.h"
#include "catalog/store_position.h"
#include "fleet/heartbeat.h"
#include "fleet/members.h"

namespace mangonotch::fleet {

struct CatalogRequest {
  HostRecord source;
  base::Incarnation incarnation = 0;
  /// Sequence number of the last changes fetched from the source; 0 for all of its catalog.
  std::uint64_t since = 0;
  /// This host is behind the source although its own source or watches should have kept it up to
  /// date.
  bool is_behind = false;
};

class CatalogSync {
 public:
  /// Returns the request to send now, nullopt if this host is up to date or may still become so
  /// without one. `applied`: the changes that this host has applied; `is_fresh`: its own store
  /// watches are up to date as far as it can tell.
  std::optional<CatalogRequest> Next(const Members& members, const catalog::StorePosition& applied,
                                     bool is_fresh, base::Instant now);
  /// Reports that this host has listed the entries of the targets in the store.
  void OnListed() { is_listing_unchecked_ = true; }
  /// Reports that the changes of a host up to `sequence` have been applied.
  void OnFetched(base::Incarnation source, std::uint64_t sequence);
  /// Reports that a host did not answer a request; others are asked first for a while.
  void OnFailed(base::Incarnation source, base::Instant now);

 private:
  /// A change of which another host knows and this one does not.
  struct MissingChange {
    catalog::StorePosition position;
    /// Until then the change may still arrive the usual way.
    base::Instant expected_by;
  };

  /// Updates `missing_change_` and returns whether it is overdue.
  bool IsChangeOverdue(const Heartbeat* ahead, const catalog::StorePosition& applied, bool is_fresh,
                       base::Instant now);
  /// The host to avoid; 0 if there is none.
  base::Incarnation Avoided(base::Instant now) const { return now < avoid_until_ ? failed_ : 0; }
  const Heartbeat* FindSource(const Members& members, base::Instant now) const;
  /// The host to compare a listing with; null if there is none, or if this host knows all that it
  /// knows.
  const Heartbeat* FindListingCheck(const Members& members, base::Instant now);
  CatalogRequest RequestTo(const Heartbeat& source, bool is_behind) const;
  std::uint64_t FetchedSequence(base::Incarnation source) const;

  /// Incarnation of the host that this one follows.
  base::Incarnation source_ = 0;
  /// Sequence number of the last changes fetched from each source. At most kMaxFetchedSources.
  std::map<base::Incarnation, std::uint64_t> fetched_;
  std::optional<MissingChange> missing_change_;
  /// No other host's changes have been applied since the last listing.
  bool is_listing_unchecked_ = false;
  /// The last host that did not answer, and until when the others are asked first.
  base::Incarnation failed_ = 0;
  base::Instant avoid_until_;
};

}  // namespace mangonotch::fleet
