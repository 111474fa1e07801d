// Stand-in for the key-value store over HTTP.
#include "standins/kv/kv_service.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "http/clock.h"
#include "standins/common/parameters.h"
#include "standins/common/raw_answer.h"

namespace mangonotch::standins {
namespace {

constexpr std::string_view kKeyPrefix = "/v1/kv/";
constexpr std::string_view kWatchPrefix = "/v1/watch/";
constexpr std::string_view kLeases = "/v1/leases";
constexpr std::string_view kRenewSuffix = "/renew";
constexpr std::int64_t kMaxWatchMs = 60'000;

http::Response WithVersion(unsigned status, std::uint64_t version, std::string_view body) {
  http::Response response = Text(status, body);
  response.headers.Add("X-Version", std::to_string(version));
  return response;
}

}  // namespace

KvService::KvService(KvOptions options)
    : options_(options), reads_(options.reads_per_second), writes_(options.writes_per_second) {}

http::Response KvService::Handle(const http::Request& request) {
  if (request.path == "/fault") {
    return Fault(request);
  }
  if (request.path == "/counters") {
    return CountersAnswer();
  }
  std::int64_t delay_ms = 0;
  {
    const std::lock_guard lock(mutex_);
    if (faults_.drop > 0) {
      --faults_.drop;
      CloseCallerConnection(request);
      return Text(503, "dropped\n");
    }
    if (faults_.down) {
      return Text(503, "down\n");
    }
    delay_ms = faults_.delay_ms;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  return Route(request);
}

http::Response KvService::Route(const http::Request& request) {
  const std::string_view path = request.path;
  if (path.starts_with(kKeyPrefix) && path.size() > kKeyPrefix.size()) {
    const std::string_view key = path.substr(kKeyPrefix.size());
    if (request.method == "GET") {
      return Get(key);
    }
    return request.method == "PUT" ? Answer(request, Put(request, key)) : Text(405, "");
  }
  if (path.starts_with(kWatchPrefix) && request.method == "GET") {
    return Watch(request, path.substr(kWatchPrefix.size()));
  }
  if (path == kLeases && request.method == "POST") {
    return Answer(request, Grant(request));
  }
  if (path.starts_with(kLeases) && path.ends_with(kRenewSuffix) && request.method == "POST") {
    const std::string_view id = path.substr(kLeases.size() + 1);
    return Answer(request, Renew(id.substr(0, id.size() - kRenewSuffix.size())));
  }
  return Text(404, "no such path\n");
}

http::Response KvService::Get(std::string_view key) {
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  if (!AllowRead()) {
    return Text(429, "too many reads\n");
  }
  ++counters_.reads;
  const auto value = state_.Get(key, faults_.stale);
  return value ? WithVersion(200, value->version, value->bytes) : Text(404, "absent\n");
}

http::Response KvService::Put(const http::Request& request, std::string_view key) {
  const auto expect = IntegerParameter(request, "expect");
  if (!expect || *expect < 0) {
    return Text(400, "expect is missing\n");
  }
  if (request.body.size() > options_.value_bytes) {
    return Text(413, "value too large\n");
  }
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  if (!AllowWrite()) {
    return Text(429, "too many writes\n");
  }
  const auto lease = static_cast<std::uint64_t>(IntegerParameter(request, "lease").value_or(0));
  if (lease != 0 && !state_.HasLease(lease)) {
    return Text(404, "no such lease\n");
  }
  const auto result = state_.Put(key, static_cast<std::uint64_t>(*expect), request.body, lease);
  if (!result.written) {
    ++counters_.conflicts;
    return WithVersion(409, result.version, "conflict\n");
  }
  ++counters_.writes;
  changed_.notify_all();
  return WithVersion(200, result.version, "");
}

http::Response KvService::Watch(const http::Request& request, std::string_view key) {
  const auto after = static_cast<std::uint64_t>(IntegerParameter(request, "after").value_or(0));
  const std::int64_t wait_ms =
      std::clamp<std::int64_t>(IntegerParameter(request, "wait_ms").value_or(0), 0, kMaxWatchMs);
  const base::Instant deadline = http::Now() + base::Duration::Milliseconds(wait_ms);
  std::unique_lock lock(mutex_);
  if (!AllowRead()) {
    return Text(429, "too many reads\n");
  }
  ++counters_.watches;
  while (true) {
    ExpireLeases();
    const base::Instant now = http::Now();
    if (faults_.down) {
      return Text(503, "down\n");
    }
    if (state_.LastChange(key) > after) {
      const auto value = state_.Get(key, faults_.stale);
      return value ? WithVersion(200, value->version, value->bytes)
                   : WithVersion(404, state_.LastChange(key), "deleted\n");
    }
    if (now >= deadline || request.CallerGone()) {
      return Text(304, "");
    }
    const base::Instant until = std::min(deadline, state_.NextExpiry());
    changed_.wait_for(lock, std::chrono::nanoseconds((until - now).nanoseconds()));
  }
}

http::Response KvService::Grant(const http::Request& request) {
  const auto ttl_ms = IntegerParameter(request, "ttl_ms");
  if (!ttl_ms || *ttl_ms <= 0) {
    return Text(400, "ttl_ms is missing\n");
  }
  const std::lock_guard lock(mutex_);
  if (!AllowWrite()) {
    return Text(429, "too many writes\n");
  }
  ++counters_.writes;
  changed_.notify_all();  // The new lease may expire before the time until which watchers sleep.
  return Text(200,
              std::to_string(state_.Grant(base::Duration::Milliseconds(*ttl_ms), http::Now())));
}

http::Response KvService::Renew(std::string_view id) {
  const std::lock_guard lock(mutex_);
  ExpireLeases();
  if (!AllowWrite()) {
    return Text(429, "too many writes\n");
  }
  ++counters_.writes;
  const auto lease = ParseInteger(id);
  const bool renewed = lease && state_.Renew(static_cast<std::uint64_t>(*lease), http::Now());
  return renewed ? Text(200, "") : Text(404, "no such lease\n");
}

http::Response KvService::Answer(const http::Request& request, http::Response response) {
  const std::lock_guard lock(mutex_);
  if (response.status == 200 && faults_.lose_answer > 0) {
    --faults_.lose_answer;
    ++counters_.lost_answers;
    CloseCallerConnection(request);
  }
  return response;
}

http::Response KvService::Fault(const http::Request& request) {
  const std::lock_guard lock(mutex_);
  const auto number = [&](std::string_view name, std::int64_t old) {
    return IntegerParameter(request, name).value_or(old);
  };
  faults_.lose_answer = number("lose_answer", faults_.lose_answer);
  faults_.drop = number("drop", faults_.drop);
  faults_.delay_ms = std::clamp<std::int64_t>(number("delay_ms", faults_.delay_ms), 0, 60'000);
  faults_.down = number("down", faults_.down ? 1 : 0) != 0;
  faults_.stale = number("stale", faults_.stale ? 1 : 0) != 0;
  changed_.notify_all();
  return Text(200, "");
}

http::Response KvService::CountersAnswer() {
  const std::lock_guard lock(mutex_);
  return Json(nlohmann::json{{"reads", counters_.reads},
                             {"writes", counters_.writes},
                             {"watches", counters_.watches},
                             {"conflicts", counters_.conflicts},
                             {"limited", counters_.limited},
                             {"lost_answers", counters_.lost_answers}}
                  .dump());
}

bool KvService::AllowRead() {
  const bool allowed = reads_.Take(http::Now());
  counters_.limited += allowed ? 0 : 1;
  return allowed;
}

bool KvService::AllowWrite() {
  const bool allowed = writes_.Take(http::Now());
  counters_.limited += allowed ? 0 : 1;
  return allowed;
}

void KvService::ExpireLeases() {
  if (state_.Expire(http::Now())) {
    changed_.notify_all();
  }
}

}  // namespace mangonotch::standins
