// Implementation of store::HttpStore.
#include "store/http_store.h"

#include <charconv>

#include "http/clock.h"
#include "http/url.h"

namespace mangonotch::store {
namespace {

/// The service answers in milliseconds; a call that takes this long meets an outage.
constexpr base::Duration kCallTime = base::Duration::Seconds(1);
/// Values are at most 1 MB; the rest is room for what a proxy may add.
constexpr std::size_t kMaxValueBytes = 1'100'000;

std::uint64_t VersionOf(const http::Response& response) {
  const auto text = response.headers.Find("X-Version");
  std::uint64_t n = 0;
  if (text) std::from_chars(text->data(), text->data() + text->size(), n);
  return n;
}

}  // namespace

HttpStore::HttpStore(const std::string& address) : endpoint_(http::Endpoint::Parse(address)) {}

ReadResult HttpStore::Read(const std::string& target, base::Duration time) {
  http::ExecuteOptions options;
  options.max_body_bytes = kMaxValueBytes;
  options.cancelled = [this] { return is_stopped_.load(); };
  try {
    http::Response response =
        client_.Execute(endpoint_, {.method = "GET", .target = target, .headers = {}, .body = {}},
                        http::Now() + time, options);
    if (response.status == 200) {
      return {ReadStatus::kFound, std::move(response.body), VersionOf(response)};
    }
    if (response.status == 404) return {ReadStatus::kNotFound, {}, 0};
    if (response.status == 304) return {ReadStatus::kUnchanged, {}, VersionOf(response)};
  } catch (const http::ClientError&) {
    // Unavailable, as any other status.
  }
  return {};
}

ReadResult HttpStore::Get(const std::string& key) {
  return Read("/v1/kv/" + http::EncodePath(key), kCallTime);
}

ReadResult HttpStore::Watch(const std::string& key, std::uint64_t version, base::Duration wait) {
  const std::string target = "/v1/watch/" + http::EncodePath(key) +
                             "?after=" + std::to_string(version) +
                             "&wait_ms=" + std::to_string(wait.milliseconds());
  return Read(target, wait + kCallTime);
}

WriteResult HttpStore::Put(const std::string& key, const std::string& value,
                           std::uint64_t version) {
  const std::string target =
      "/v1/kv/" + http::EncodePath(key) + "?expect=" + std::to_string(version);
  try {
    const http::Response response = client_.Execute(
        endpoint_, {.method = "PUT", .target = target, .headers = {}, .body = value},
        http::Now() + kCallTime, {});
    if (response.status == 200) return {WriteStatus::kOk, VersionOf(response)};
    if (response.status == 409) return {WriteStatus::kConflict, VersionOf(response)};
    // The service refuses a call over its rate or size limit before it writes.
    if (response.status >= 400 && response.status < 500) return {WriteStatus::kUnavailable, 0};
  } catch (const http::ClientError& ex) {
    if (!ex.bytes_written()) return {WriteStatus::kUnavailable, 0};
  }
  return {WriteStatus::kUnknown, 0};
}

}  // namespace mangonotch::store
