// History of host states.
#include "standins/hostlist/host_history.h"

namespace mangonotch::standins {

void HostHistory::Set(const std::string& host, const std::string& state, base::Instant now) {
  States next = versions_.back().states;
  if (state == "gone") {
    next.erase(host);
  } else {
    next[host] = state;
  }
  versions_.push_back({now, std::move(next)});
}

const HostHistory::States& HostHistory::At(base::Instant time) const {
  for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
    if (it->since <= time) {
      return it->states;
    }
  }
  return versions_.front().states;
}

}  // namespace mangonotch::standins
