// Stand-in for the key-value store over HTTP, with fault injection. docs/standins.md describes the
// protocol.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

#include "http/server.h"
#include "standins/common/token_bucket.h"
#include "standins/kv/kv_state.h"

namespace mangonotch::standins {

struct KvOptions {
  double reads_per_second = 2000;
  double writes_per_second = 400;
  std::size_t value_bytes = 1 << 20;
};

class KvService {
 public:
  explicit KvService(KvOptions options);

  http::Response Handle(const http::Request& request);

 private:
  struct Faults {
    std::int64_t lose_answer = 0;  // Remaining writes that take effect and lose their response.
    std::int64_t drop = 0;         // Remaining calls that are dropped before they take effect.
    std::int64_t delay_ms = 0;
    bool down = false;
    bool stale = false;
  };
  struct Counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t limited = 0;
    std::uint64_t lost_answers = 0;
  };

  http::Response Fault(const http::Request& request);
  http::Response CountersAnswer();
  http::Response Route(const http::Request& request);
  http::Response Get(std::string_view key);
  http::Response Put(const http::Request& request, std::string_view key);
  http::Response Watch(const http::Request& request, std::string_view key);
  http::Response Grant(const http::Request& request);
  http::Response Renew(std::string_view id);
  bool AllowRead();
  bool AllowWrite();
  void ExpireLeases();
  /// Shuts down the connection instead of sending the response while `lose_answer` is set.
  http::Response Answer(const http::Request& request, http::Response response);

  KvOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;  // A key changed or was deleted.
  // mutex_ guards all members below.
  KvState state_;
  TokenBucket reads_;
  TokenBucket writes_;
  Faults faults_;
  Counters counters_;
};

}  // namespace mangonotch::standins
