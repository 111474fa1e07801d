// Client of the platform's key-value service.
//
// GET  /v1/kv/<key>                             200 with X-Version, 404
// PUT  /v1/kv/<key>?expect=<version>[&lease=id] 200 with X-Version, 409 with X-Version, 404
// (lease), 413, 429, 503 GET  /v1/watch/<key>?after=<version>&wait_ms= 200, 404 with X-Version
// (deleted), 304 POST /v1/leases?ttl_ms=                       200 with the identifier POST
// /v1/leases/<id>/renew                    200, 404
//
// The service answers other 4xx (such as 413 for a large value and 429 over a rate) and 503 only
// before a write takes effect.
#pragma once

#include <atomic>
#include <cstdint>

#include "http/cancel_source.h"
#include "http/client.h"
#include "http/endpoint.h"
#include "store/store.h"

namespace mangonotch::store {

/// May be shared by threads.
class HttpStore {
 public:
  explicit HttpStore(http::Endpoint endpoint) : endpoint_(std::move(endpoint)) {}

  ReadResult Get(std::string_view key, base::Instant deadline);
  WriteResult Put(std::string_view key, Version expected, std::string_view value,
                  base::Instant deadline);
  /// The store answers at the deadline; the call ends up to 1 s later when it does not.
  ReadResult Watch(std::string_view key, Version after, base::Instant deadline);

  LeaseResult Grant(base::Duration ttl, base::Instant deadline);
  WriteResult Renew(LeaseId lease, base::Instant deadline);
  WriteResult PutLeased(std::string_view key, Version expected, std::string_view value,
                        LeaseId lease, base::Instant deadline);

  /// Ends all calls, now and later, as unavailable or unknown.
  void Cancel() { cancel_.Cancel(); }

  /// Calls made since the start, to compare with the rates that the design allows.
  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  ReadResult Read(const std::string& target, base::Instant deadline);
  /// A write whose answer, when it is 200, is left in `answer`.
  WriteResult Write(std::string_view method, const std::string& target, std::string_view body,
                    base::Instant deadline, http::Response& answer);

  http::Endpoint endpoint_;
  http::Client client_;
  http::CancelSource cancel_;
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> writes_ = 0;
};

static_assert(LeasingStore<HttpStore>);

}  // namespace mangonotch::store
