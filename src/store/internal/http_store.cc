// Client of the platform's key-value service.
#include "store/http_store.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "http/clock.h"
#include "http/url.h"

namespace mangonotch::store {
namespace {

/// Time to receive the response to a watch that ends at its deadline.
constexpr base::Duration kWatchGrace = base::Duration::Seconds(1);

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  const bool whole = ec == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(n) : std::nullopt;
}

std::optional<Version> VersionOf(const http::Response& response) {
  return ParseNumber(response.headers.Find("X-Version").value_or(""));
}

std::string KeyPath(std::string_view prefix, std::string_view key) {
  return std::string(prefix) + http::EncodePath(key);
}

std::string StatusText(const http::Response& response) {
  return "status " + std::to_string(response.status);
}

ReadResult ToRead(http::Response response) {
  const auto version = VersionOf(response);
  if (response.status == 200 && version) {
    return {ReadStatus::kOk, *version, std::move(response.body), ""};
  }
  if (response.status == 404) {
    return {ReadStatus::kNotFound, version.value_or(kAbsent), "", ""};
  }
  if (response.status == 304) {
    return {ReadStatus::kUnchanged, kAbsent, "", ""};
  }
  return {ReadStatus::kUnavailable, kAbsent, "", StatusText(response)};
}

/// True for statuses that the service returns only before a write takes effect.
bool IsRejectedBeforeWrite(unsigned status) { return status / 100 == 4 || status == 503; }

WriteResult ToWrite(const http::Response& response) {
  const Version version = VersionOf(response).value_or(kAbsent);
  if (response.status == 200) {
    return {WriteStatus::kOk, version, ""};
  }
  if (response.status == 409) {
    return {WriteStatus::kConflict, version, ""};
  }
  const WriteStatus status =
      IsRejectedBeforeWrite(response.status) ? WriteStatus::kUnavailable : WriteStatus::kUnknown;
  return {status, kAbsent, StatusText(response)};
}

/// Maps the 404 of a write with a lease to an expired lease.
WriteResult WithLease(WriteResult result, LeaseId lease, const http::Response& response) {
  if (lease.value != 0 && response.status == 404) {
    result.status = WriteStatus::kLeaseExpired;
  }
  return result;
}

}  // namespace

ReadResult HttpStore::Get(std::string_view key, base::Instant deadline) {
  return Read(KeyPath("/v1/kv/", key), deadline);
}

ReadResult HttpStore::Watch(std::string_view key, Version after, base::Instant deadline) {
  const auto wait_ms = std::max<std::int64_t>((deadline - http::Now()).milliseconds(), 0);
  const std::string target = KeyPath("/v1/watch/", key) + "?after=" + std::to_string(after) +
                             "&wait_ms=" + std::to_string(wait_ms);
  return Read(target, deadline + kWatchGrace);
}

WriteResult HttpStore::Put(std::string_view key, Version expected, std::string_view value,
                           base::Instant deadline) {
  return PutLeased(key, expected, value, LeaseId{}, deadline);
}

WriteResult HttpStore::PutLeased(std::string_view key, Version expected, std::string_view value,
                                 LeaseId lease, base::Instant deadline) {
  if (value.size() > kMaxValueBytes) {
    return {WriteStatus::kUnavailable, kAbsent, "value over 1 MB"};
  }
  std::string target = KeyPath("/v1/kv/", key) + "?expect=" + std::to_string(expected);
  if (lease.value != 0) {
    target += "&lease=" + std::to_string(lease.value);
  }
  http::Response response;
  WriteResult result = Write("PUT", target, value, deadline, response);
  const bool versioned =
      result.status == WriteStatus::kOk || result.status == WriteStatus::kConflict;
  if (versioned && !VersionOf(response)) {
    return {WriteStatus::kUnknown, kAbsent, "response without X-Version"};
  }
  return WithLease(std::move(result), lease, response);
}

LeaseResult HttpStore::Grant(base::Duration ttl, base::Instant deadline) {
  http::Response response;
  const WriteResult result = Write(
      "POST", "/v1/leases?ttl_ms=" + std::to_string(ttl.milliseconds()), "", deadline, response);
  if (result.status != WriteStatus::kOk) {
    return {result.status, {}, result.detail};
  }
  const auto id = ParseNumber(response.body);
  return id ? LeaseResult{WriteStatus::kOk, {*id}, ""}
            : LeaseResult{WriteStatus::kUnknown, {}, "response without a lease identifier"};
}

WriteResult HttpStore::Renew(LeaseId lease, base::Instant deadline) {
  http::Response response;
  WriteResult result =
      Write("POST", "/v1/leases/" + std::to_string(lease.value) + "/renew", "", deadline, response);
  return WithLease(std::move(result), lease, response);
}

ReadResult HttpStore::Read(const std::string& target, base::Instant deadline) {
  http::ExecuteOptions options;
  options.connection = http::ConnectionUse::kKeptAlive;
  options.max_body_bytes = kMaxValueBytes;
  options.cancel_socket = cancel_.socket();
  const http::ClientRequest request{"GET", target, {}, ""};
  while (true) {
    ++reads_;
    try {
      return ToRead(client_.Execute(endpoint_, request, deadline, options));
    } catch (const http::ClientError& error) {
      const bool stale = error.failure() == http::Failure::kStaleConnection;
      if (!stale || options.connection == http::ConnectionUse::kFresh) {
        return {ReadStatus::kUnavailable, kAbsent, "", error.what()};
      }
      options.connection = http::ConnectionUse::kFresh;  // A read is safe to retry.
    }
  }
}

WriteResult HttpStore::Write(std::string_view method, const std::string& target,
                             std::string_view body, base::Instant deadline,
                             http::Response& response) {
  // Uses the default, a fresh connection, since a stale one would leave the result unknown.
  http::ExecuteOptions options;
  options.cancel_socket = cancel_.socket();
  ++writes_;
  try {
    response = client_.Execute(endpoint_, {method, target, {}, body}, deadline, options);
    return ToWrite(response);
  } catch (const http::ClientError& error) {
    const auto status = error.bytes_written() ? WriteStatus::kUnknown : WriteStatus::kUnavailable;
    return {status, kAbsent, error.what()};
  }
}

}  // namespace mangonotch::store
