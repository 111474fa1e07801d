// Accepts or refuses offered tables and decides when a host may start to steer.
#include "publication/table_state.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangonotch::publication {

TableState::TableState(std::span<const base::HostId> peers, base::Duration start_wait)
    : start_wait_(start_wait), unreported_peers_(peers.begin(), peers.end()) {}

OfferResult TableState::Offer(Source source, std::shared_ptr<const table::Table> table,
                              base::Instant now) {
  store_answered_ = store_answered_ || source == Source::kStore;
  const OfferResult result = Classify(*table);
  ++counts_[static_cast<std::size_t>(source)][static_cast<std::size_t>(result)];
  if (result == OfferResult::kAccepted) {
    if (current_ == nullptr) {
      wait_until_ = now + start_wait_;
    }
    current_ = std::move(table);
  }
  return result;
}

OfferResult TableState::Classify(const table::Table& offered) const {
  if (current_ == nullptr || offered.revision > current_->revision) {
    return OfferResult::kAccepted;
  }
  if (offered.revision < current_->revision) {
    return OfferResult::kOlder;
  }
  return offered == *current_ ? OfferResult::kSame : OfferResult::kDifferentContent;
}

void TableState::NotePeerRevision(std::string_view host, base::Revision revision) {
  if (const auto it = unreported_peers_.find(host); it != unreported_peers_.end()) {
    unreported_peers_.erase(it);
  }
  peer_revisions_.insert_or_assign(base::HostId(host), revision);
}

void TableState::NotePeerGone(std::string_view host) {
  if (const auto it = peer_revisions_.find(host); it != peer_revisions_.end()) {
    peer_revisions_.erase(it);
  }
}

bool TableState::MaySteer(base::Instant now) {
  if (!has_started_) {
    has_started_ = current_ != nullptr && NewestPeerRevision() <= current_->revision &&
                   (HasHeardFromAll() || now >= wait_until_);
  }
  return has_started_;
}

bool TableState::HasHeardFromAll() const { return store_answered_ && unreported_peers_.empty(); }

base::Revision TableState::NewestPeerRevision() const {
  base::Revision newest = 0;
  for (const auto& [host, revision] : peer_revisions_) {
    newest = std::max(newest, revision);
  }
  return newest;
}

std::optional<base::HostId> TableState::PullFrom(std::size_t attempt) const {
  const base::Revision newest = NewestPeerRevision();
  if (newest <= revision()) {
    return std::nullopt;
  }
  std::vector<std::string_view> hosts;
  for (const auto& [host, host_revision] : peer_revisions_) {
    if (host_revision == newest) {
      hosts.push_back(host);
    }
  }
  return base::HostId(hosts[attempt % hosts.size()]);
}

}  // namespace mangonotch::publication
