// Client of the platform's key-value service. It uses these requests:
//
// - `GET /v1/kv/<key>`: 200 with X-Version, or 404.
// - `PUT /v1/kv/<key>?expect=<version>[&lease=<id>]`: 200 with X-Version, 409 with X-Version, 404
//   (the lease does not exist), 413, 429 or 503.
// - `GET /v1/watch/<key>?after=<version>&wait_ms=<ms>`: 200 with X-Version, 404 with X-Version (the
//   key was deleted), or 304.
// - `POST /v1/leases?ttl_ms=<ms>`: 200 with the lease identifier.
// - `POST /v1/leases/<id>/renew`: 200 or 404.
//
// The service returns 503 and other 4xx statuses (such as 413 for a large value and 429 over a rate
// limit) only before a write takes effect.
#pragma once

#include <atomic>
#include <cstdint>

#include "http/cancel_source.h"
#include "http/client.h"
#include "http/endpoint.h"
#include "store/store.h"

namespace mangonotch::store {

/// Thread-safe.
class HttpStore {
 public:
  explicit HttpStore(http::Endpoint endpoint) : endpoint_(std::move(endpoint)) {}

  ReadResult Get(std::string_view key, base::Instant deadline);
  WriteResult Put(std::string_view key, Version expected, std::string_view value,
                  base::Instant deadline);
  /// The store responds by the deadline. If it does not, the call ends up to 1 s after the
  /// deadline.
  ReadResult Watch(std::string_view key, Version after, base::Instant deadline);

  LeaseResult Grant(base::Duration ttl, base::Instant deadline);
  WriteResult Renew(LeaseId lease, base::Instant deadline);
  WriteResult PutLeased(std::string_view key, Version expected, std::string_view value,
                        LeaseId lease, base::Instant deadline);

  /// Ends all pending and future calls, with status kUnavailable or kUnknown.
  void Cancel() { cancel_.Cancel(); }

  /// Number of requests made since the start, to compare with the rates that the design allows.
  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  ReadResult Read(const std::string& target, base::Instant deadline);
  /// Sends a write and stores the response, if there is one, in `response`.
  WriteResult Write(std::string_view method, const std::string& target, std::string_view body,
                    base::Instant deadline, http::Response& response);

  http::Endpoint endpoint_;
  http::Client client_;
  http::CancelSource cancel_;
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> writes_ = 0;
};

static_assert(LeasingStore<HttpStore>);

}  // namespace mangonotch::store
