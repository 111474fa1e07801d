// The table revision in force on this host. The revision never decreases, whichever source offers
// an older one. A host that has just started does not steer before it has asked the store and its
// peers for a newer revision or has waited for them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "base/ids.h"
#include "base/instant.h"
#include "table/table.h"

namespace mangonotch::publication {

/// How long a starting host waits for its peers to report a newer revision, since a read of the
/// store may be stale.
inline constexpr base::Duration kStartWait = base::Duration::Seconds(1);

/// Source of an offered table.
enum class Source : std::uint8_t {
  kStore,
  kPeer,
  /// Passed to the process at its start.
  kStart,
};
inline constexpr std::size_t kSources = 3;

enum class OfferResult : std::uint8_t {
  /// The table is now in force.
  kAccepted,
  /// Refused: a newer revision is in force.
  kOlder,
  /// The table is already in force.
  kSame,
  /// Refused: the same revision is in force with different content. Only data loss in the store or
  /// a fault can cause this.
  kDifferentContent,
};
inline constexpr std::size_t kOfferResults = 4;

class TableState {
 public:
  /// `peers` are the hosts known at the start, excluding this one.
  explicit TableState(std::span<const base::HostId> peers, base::Duration start_wait = kStartWait);

  /// `table` must not be null. An offer from the store also counts as its response.
  OfferResult Offer(Source source, std::shared_ptr<const table::Table> table, base::Instant now);

  /// Records that the store responded without a table.
  void NoteEmptyStore() { store_answered_ = true; }

  /// Records the revision in force that a live peer reported; 0 if it has none.
  void NotePeerRevision(std::string_view host, base::Revision revision);

  /// Removes the revision of a peer that is no longer live, so that the host does not wait for it.
  void NotePeerGone(std::string_view host);

  /// Whether this host may answer lookups and serve requests. Stays true once it is true: a
  /// partitioned host continues with its last revision.
  bool MaySteer(base::Instant now);

  /// The earliest time at which MaySteer can become true without a further event; Never if only an
  /// event can make it true.
  base::Instant NextCheck() const { return has_started_ ? base::Instant::Never() : wait_until_; }

  /// The table in force, or null.
  const std::shared_ptr<const table::Table>& current() const { return current_; }
  /// The revision in force, or 0.
  base::Revision revision() const { return current_ == nullptr ? 0 : current_->revision; }

  /// Highest revision reported by a live peer, or 0.
  base::Revision NewestPeerRevision() const;

  /// A peer to pull a newer revision from, or nullopt when none is known. Successive attempts
  /// rotate through the peers with the newest revision.
  std::optional<base::HostId> PullFrom(std::size_t attempt) const;

  std::uint64_t Count(Source source, OfferResult result) const {
    return counts_[static_cast<std::size_t>(source)][static_cast<std::size_t>(result)];
  }

 private:
  OfferResult Classify(const table::Table& offered) const;
  bool HasHeardFromAll() const;

  base::Duration start_wait_;
  /// Peers known at the start that have not reported yet.
  std::set<base::HostId, std::less<>> unreported_peers_;
  /// Revision in force reported by each live peer.
  std::map<base::HostId, base::Revision, std::less<>> peer_revisions_;
  /// The table in force. Its revision never decreases.
  std::shared_ptr<const table::Table> current_;
  bool store_answered_ = false;
  bool has_started_ = false;
  /// Set when the first table is accepted, since a stale table can only be used from then on.
  base::Instant wait_until_ = base::Instant::Never();
  std::array<std::array<std::uint64_t, kOfferResults>, kSources> counts_{};
};

}  // namespace mangonotch::publication
