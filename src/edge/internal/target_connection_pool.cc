// Acquiring and releasing connections.
#include "edge/target_connection_pool.h"

#include <algorithm>

namespace mangonotch::edge {
namespace {

/// Assumed keep-alive time of a target that does not announce one: it may close an idle connection
/// after this time.
constexpr base::Duration kDefaultKeepAlive = base::Duration::Seconds(4);
/// Connections are not reused this close to the keep-alive timeout: the target may close the
/// connection while the request is on its way.
constexpr base::Duration kCloseMargin = base::Duration::Milliseconds(700);

constexpr base::Duration kConnectTime = base::Duration::Milliseconds(300);

bool IsSafeToReuse(const http1::ClientConnection& connection, base::Instant now) {
  const bool has_timeout = connection.usable_until() != base::Instant::Never();
  const base::Instant until =
      has_timeout ? connection.usable_until() : connection.idle_since() + kDefaultKeepAlive;
  return connection.is_reusable() && now + kCloseMargin < until;
}

}  // namespace

TargetConnectionPool::ConnectionPtr TargetConnectionPool::Acquire(const std::string& target_id,
                                                                  base::Instant now) {
  std::vector<ConnectionPtr>& idle = idle_[target_id];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    if (IsSafeToReuse(*connection, now)) {
      ++counts_.reused;
      connection->set_on_idle_end(nullptr);
      return connection;
    }
    connection->Close();
  }
  ++counts_.opened;
  const http1::ClientLimits limits{.unreserved_body_bytes = unreserved_body_bytes_,
                                   .connect_time = kConnectTime};
  return std::make_shared<http1::ClientConnection>(context_, limits, body_budget_);
}

void TargetConnectionPool::Release(const std::string& target_id, ConnectionPtr connection) {
  if (!connection->is_reusable()) return;
  http1::ClientConnection* const raw_connection = connection.get();
  connection->set_on_idle_end([this, target_id, raw_connection] {
    const auto entry = idle_.find(target_id);
    if (entry == idle_.end()) return;
    std::erase_if(entry->second,
                  [raw_connection](const ConnectionPtr& it) { return it.get() == raw_connection; });
  });
  idle_[target_id].push_back(std::move(connection));
}

}  // namespace mangonotch::edge
