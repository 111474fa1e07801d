// Client of the key-value service's HTTP protocol. May be shared by threads.
#pragma once

#include <atomic>
#include <string>

#include "http/client.h"
#include "store/store.h"

namespace mangonotch::store {

class HttpStore {
 public:
  /// `address` is ip:port. Throws base::Error for anything else.
  explicit HttpStore(const std::string& address);

  ReadResult Get(const std::string& key);
  WriteResult Put(const std::string& key, const std::string& value, std::uint64_t version);
  ReadResult Watch(const std::string& key, std::uint64_t version, base::Duration wait);
  /// Ends calls in progress within about 20 ms and all later ones at once: a watch would delay the
  /// end of the process.
  void Stop() { is_stopped_ = true; }

 private:
  ReadResult Read(const std::string& target, base::Duration time);

  http::Endpoint endpoint_;
  std::atomic<bool> is_stopped_{false};
  http::Client client_;
};

static_assert(Store<HttpStore>);

}  // namespace mangonotch::store
