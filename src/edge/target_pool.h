// Open connections to targets that wait for their next request.
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

struct PoolCounts {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
};

class TargetPool {
 public:
  using ConnectionPtr = std::shared_ptr<http1::ClientConnection>;

  explicit TargetPool(boost::asio::io_context& context) : context_(context) {}

  /// The connection used last among those that the target is sure to keep open, or a new one.
  ConnectionPtr Take(const std::string& target_id, base::Instant now);
  /// Takes a connection back after an exchange; drops one that is not fit for another.
  void Give(const std::string& target_id, ConnectionPtr connection);
  /// Closes the idle connections of targets for which `is_known` is false.
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
  /// By target; the connection given back last is at the end.
  std::unordered_map<std::string, std::vector<ConnectionPtr>> idle_;
  PoolCounts counts_;
};

}  // namespace mangonotch::edge
