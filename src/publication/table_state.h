// Which table revision is in force on this host. A revision never goes back, whoever offers an
// older one, and a host that has just started steers only when it cannot know of a newer one.
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

/// The store may give a stale read; this is how long a host that starts waits for peers to tell.
inline constexpr base::Duration kStartWait = base::Duration::Seconds(1);

/// Who offered a table.
enum class Source : std::uint8_t {
  kStore,
  kPeer,
  /// Handed over when the process started.
  kStart,
};
inline constexpr std::size_t kSources = 3;

enum class OfferResult : std::uint8_t {
  /// It is in force now.
  kAccepted,
  /// Refused: a newer revision is in force.
  kOlder,
  /// It is in force already.
  kSame,
  /// Refused: the revision in force has other content. Only a store that lost its data or a fault
  /// can cause this.
  kDifferentContent,
};
inline constexpr std::size_t kOfferResults = 4;

class TableState {
 public:
  /// `peers` are the hosts that are known from the start, without this one.
  explicit TableState(std::span<const base::HostId> peers, base::Duration start_wait = kStartWait);

  /// `table` must not be null. An offer from the store also counts as its answer.
  OfferResult Offer(Source source, std::shared_ptr<const table::Table> table, base::Instant now);

  /// The store answered that it holds no table.
  void NoteEmptyStore() { store_answered_ = true; }

  /// A live peer reported its revision in force; 0 while it has none.
  void NotePeerRevision(std::string_view host, base::Revision revision);

  /// The peer is no longer live: its revision is no reason to wait any more.
  void NotePeerGone(std::string_view host);

  /// Whether this host may answer look-ups and serve. Stays true once it was: a host that is cut
  /// off goes on with the last revision it has.
  bool MaySteer(base::Instant now);

  /// When MaySteer can become true without a further event; Never when it waits for an event.
  base::Instant NextCheck() const { return has_started_ ? base::Instant::Never() : wait_until_; }

  /// The table in force, or null.
  const std::shared_ptr<const table::Table>& current() const { return current_; }
  /// The revision in force, or 0.
  base::Revision revision() const { return current_ == nullptr ? 0 : current_->revision; }

  /// Highest revision that a live peer reported, or 0.
  base::Revision NewestPeerRevision() const;

  /// A peer to pull a newer revision from, or nothing when none is known. Successive attempts go
  /// round the peers that have the newest one.
  std::optional<base::HostId> PullFrom(std::size_t attempt) const;

  std::uint64_t Count(Source source, OfferResult result) const {
    return counts_[static_cast<std::size_t>(source)][static_cast<std::size_t>(result)];
  }

 private:
  OfferResult Judge(const table::Table& offered) const;
  bool HaveAllAnswered() const;

  base::Duration start_wait_;
  /// Peers known from the start that have not yet reported.
  std::set<base::HostId, std::less<>> silent_peers_;
  /// Revision in force at each live peer that reported.
  std::map<base::HostId, base::Revision, std::less<>> peer_revisions_;
  /// Its revision only grows.
  std::shared_ptr<const table::Table> current_;
  bool store_answered_ = false;
  bool has_started_ = false;
  /// Set with the first table: only then can a wrong one be used.
  base::Instant wait_until_ = base::Instant::Never();
  std::array<std::array<std::uint64_t, kOfferResults>, kSources> counts_{};
};

}  // namespace mangonotch::publication
