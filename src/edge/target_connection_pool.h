// A pool of idle keep-alive connections to targets.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/instant.h"
#include "http1/client_connection.h"

namespace mangonotch::edge {

/// Number of connections that Acquire has newly created and taken from the pool.
struct PoolCounts {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
};

/// Limits on the bodies that all targets together may be sending.
struct PendingBodyLimits {
  /// Bytes beyond the first `unreserved_bytes` of each body.
  std::size_t total_bytes = std::size_t{32} * 1024 * 1024;
  std::size_t unreserved_bytes = http1::ClientLimits().unreserved_body_bytes;
};

class TargetConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<http1::ClientConnection>;

  /// Targets that send without end must not use up the memory of the process, hence `limits`.
  TargetConnectionPool(boost::asio::io_context& context, const PendingBodyLimits& limits)
      : context_(context),
        unreserved_body_bytes_(limits.unreserved_bytes),
        body_budget_(std::make_shared<http1::ByteBudget>(limits.total_bytes)) {}

  /// Returns the most recently used idle connection that the target is not about to close, or a
  /// new, unconnected one.
  ConnectionPtr Acquire(const std::string& target_id, base::Instant now);
  /// Returns a connection to the pool after an exchange; drops it when it cannot be reused.
  void Release(const std::string& target_id, ConnectionPtr connection);
  /// Closes the idle connections to targets for which `is_known` returns false.
  template <typename IsKnown>
  void RetainIf(IsKnown is_known) {
    std::erase_if(idle_, [&](auto& it) {
      if (is_known(it.first)) return false;
      for (const ConnectionPtr& connection : it.second) connection->Close();
      return true;
    });
  }

  const PoolCounts& counts() const { return counts_; }

 private:
  boost::asio::io_context& context_;
  std::size_t unreserved_body_bytes_;
  std::shared_ptr<http1::ByteBudget> body_budget_;
  /// Keyed by target id; the most recently released connection is last.
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
  PoolCounts counts_;
};

}  // namespace mangonotch::edge
