// Stand-in for the platform's lagging host list.
#include "standins/hostlist/host_list_service.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

#include "http/clock.h"
#include "standins/common/parameters.h"

namespace mangonotch::standins {

http::Response HostListService::Handle(const http::Request& request) {
  if (request.path == "/fault" && request.method == "POST") {
    return Fault(request);
  }
  if (request.path == "/counters") {
    const std::lock_guard lock(mutex_);
    return Json(nlohmann::json{{"reads", reads_}}.dump());
  }
  if (request.path != "/hosts") {
    return Text(404, "no such path\n");
  }
  return request.method == "POST" ? Change(request) : List();
}

void HostListService::Set(const std::string& host, const std::string& state) {
  const std::lock_guard lock(mutex_);
  history_.Set(host, state, http::Now());
}

http::Response HostListService::List() {
  std::unique_lock lock(mutex_);
  ++reads_;
  if (down_) {
    return Text(503, "down\n");
  }
  const auto delay = std::chrono::milliseconds(delay_ms_);
  nlohmann::json hosts = nlohmann::json::array();
  for (const auto& [host, state] :
       history_.At(http::Now() - base::Duration::Milliseconds(lag_ms_))) {
    hosts.push_back({{"host", host}, {"state", state}});
  }
  lock.unlock();
  std::this_thread::sleep_for(delay);
  return Json(nlohmann::json{{"hosts", hosts}}.dump());
}

http::Response HostListService::Change(const http::Request& request) {
  const auto host = request.Parameter("host");
  const auto state = request.Parameter("state");
  const bool known = state == "live" || state == "leaving" || state == "gone";
  if (!host || !known) {
    return Text(400, "host and state=live|leaving|gone are needed\n");
  }
  Set(*host, *state);
  return Text(200, "");
}

http::Response HostListService::Fault(const http::Request& request) {
  const std::lock_guard lock(mutex_);
  const auto number = [&](std::string_view name, std::int64_t old) {
    return std::clamp<std::int64_t>(IntegerParameter(request, name).value_or(old), 0, 600'000);
  };
  lag_ms_ = number("lag_ms", lag_ms_);
  delay_ms_ = number("delay_ms", delay_ms_);
  down_ = number("down", down_ ? 1 : 0) != 0;
  return Text(200, "");
}

}  // namespace mangonotch::standins
