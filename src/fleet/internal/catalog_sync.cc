// Choice of the source and detection of missing changes.
#include "fleet/catalog_sync.h"

namespace mangonotch::fleet {
namespace {

using base::Duration;

/// Time that a source takes to announce a change and this host to fetch it.
constexpr Duration kSourceTime = Duration::Milliseconds(200);
/// Time in which this host's own watches deliver a change: the interval between two watches and the
/// difference in distance to the store.
constexpr Duration kWatchTime = Duration::Milliseconds(500);
/// Sources whose sequence numbers are kept. A source beyond them sends its whole catalog once more.
constexpr std::size_t kMaxFetchedSources = 8;
constexpr Duration kAvoidTime = Duration::Seconds(3);

}  // namespace

std::optional<CatalogRequest> CatalogSync::Next(const Members& members,
                                                const catalog::StorePosition& applied,
                                                bool is_fresh, base::Instant now) {
  const Heartbeat* const ahead = members.FindAhead(applied, Avoided(now), now);
  if (IsChangeOverdue(ahead, applied, is_fresh, now)) {
    source_ = ahead->incarnation;
    return RequestTo(*ahead, true);
  }
  if (const Heartbeat* const other = FindListingCheck(members, now)) {
    return RequestTo(*other, false);
  }
  if (is_fresh) return std::nullopt;
  const Heartbeat* const source = FindSource(members, now);
  if (source == nullptr) return std::nullopt;
  source_ = source->incarnation;
  if (source->catalog_sequence <= FetchedSequence(source_)) return std::nullopt;
  return RequestTo(*source, false);
}

bool CatalogSync::IsChangeOverdue(const Heartbeat* ahead, const catalog::StorePosition& applied,
                                  bool is_fresh, base::Instant now) {
  if (missing_change_ && !catalog::IsBehind(applied, missing_change_->position)) {
    missing_change_.reset();
  }
  if (ahead == nullptr) return false;
  if (!missing_change_) {
    missing_change_ = {.position = ahead->newest,
                       .expected_by = now + (is_fresh ? kWatchTime : kSourceTime)};
  }
  return now >= missing_change_->expected_by;
}

const Heartbeat* CatalogSync::FindSource(const Members& members, base::Instant now) const {
  const base::Incarnation avoided = Avoided(now);
  const Heartbeat* const current = members.FindLive(source_, now);
  if (current != nullptr && current->has_fresh_catalog && source_ != avoided) return current;
  return members.FindCatalogSource(avoided, now);
}

const Heartbeat* CatalogSync::FindListingCheck(const Members& members, base::Instant now) {
  if (!is_listing_unchecked_) return nullptr;
  const Heartbeat* const other = members.FindWithCatalog(Avoided(now), now);
  if (other == nullptr) return nullptr;
  is_listing_unchecked_ = other->catalog_sequence > FetchedSequence(other->incarnation);
  return is_listing_unchecked_ ? other : nullptr;
}

CatalogRequest CatalogSync::RequestTo(const Heartbeat& source, bool is_behind) const {
  return {.source = source.sender,
          .incarnation = source.incarnation,
          .since = FetchedSequence(source.incarnation),
          .is_behind = is_behind};
}

std::uint64_t CatalogSync::FetchedSequence(base::Incarnation source) const {
  const auto it = fetched_.find(source);
  return it == fetched_.end() ? 0 : it->second;
}

void CatalogSync::OnFetched(base::Incarnation source, std::uint64_t sequence) {
  if (fetched_.size() >= kMaxFetchedSources && !fetched_.contains(source)) fetched_.clear();
  fetched_[source] = sequence;
  is_listing_unchecked_ = false;
}

void CatalogSync::OnFailed(base::Incarnation source, base::Instant now) {
  failed_ = source;
  avoid_until_ = now + kAvoidTime;
}

}  // namespace mangonotch::fleet
