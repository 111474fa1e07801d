// Stand-in for the platform's lagging list of live and leaving hosts, over HTTP.
#pragma once

#include <cstdint>
#include <mutex>

#include "http/server.h"
#include "standins/hostlist/host_history.h"

namespace mangonotch::standins {

class HostListService {
 public:
  explicit HostListService(std::int64_t lag_ms) : lag_ms_(lag_ms) {}

  /// Serves GET /hosts; POST /hosts?host=H&state=live|leaving|gone; POST
  /// /fault?lag_ms=N&delay_ms=N&down=1|0; GET /counters.
  http::Response Handle(const http::Request& request);

  void Set(const std::string& host, const std::string& state);

 private:
  http::Response List();
  http::Response Change(const http::Request& request);
  http::Response Fault(const http::Request& request);

  std::mutex mutex_;
  // mutex_ guards all members below.
  HostHistory history_;
  std::int64_t lag_ms_;
  std::int64_t delay_ms_ = 0;
  bool down_ = false;
  std::uint64_t reads_ = 0;
};

}  // namespace mangonotch::standins
