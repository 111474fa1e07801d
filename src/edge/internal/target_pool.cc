// Taking and giving back connections.
#include "edge/target_pool.h"

#include <algorithm>

namespace mangonotch::edge {
namespace {

/// A target that names no time-out may close an idle connection after this time.
constexpr base::Duration kUnknownKeepAlive = base::Duration::Seconds(4);
/// A request sent this close to the target's time-out may cross its close.
constexpr base::Duration kCloseMargin = base::Duration::Milliseconds(700);

constexpr http1::ClientLimits kTargetLimits = {.connect_time = base::Duration::Milliseconds(300)};

bool IsSafe(const http1::ClientConnection& connection, base::Instant now) {
  const bool is_named = connection.usable_until() != base::Instant::Never();
  const base::Instant until =
      is_named ? connection.usable_until() : connection.idle_since() + kUnknownKeepAlive;
  return connection.is_reusable() && now + kCloseMargin < until;
}

}  // namespace

TargetPool::ConnectionPtr TargetPool::Take(const std::string& target_id, base::Instant now) {
  std::vector<ConnectionPtr>& idle = idle_[target_id];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (IsSafe(*connection, now)) {
      ++counts_.reused;
      connection->set_on_idle_end(nullptr);
      return connection;
    }
    connection->Close();
  }
  ++counts_.opened;
  return std::make_shared<http1::ClientConnection>(context_, kTargetLimits);
}

void TargetPool::Give(const std::string& target_id, ConnectionPtr connection) {
  if (!connection->is_reusable()) return;
  http1::ClientConnection* const raw = connection.get();
  connection->set_on_idle_end([this, target_id, raw] {
    const auto entry = idle_.find(target_id);
    if (entry == idle_.end()) return;
    std::erase_if(entry->second, [raw](const ConnectionPtr& it) { return it.get() == raw; });
  });
  idle_[target_id].push_back(std::move(connection));
}

}  // namespace mangonotch::edge
