// Stand-in for a target over HTTP: the health, load, runs, counters and fault endpoints.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "http/clock.h"
#include "standins/common/parameters.h"
#include "standins/target/target_service.h"

namespace mangonotch::standins {

http::Response TargetService::Health() {
  const std::lock_guard lock(mutex_);
  const bool draining = faults_.drain && !faults_.drain_hidden;
  http::Response response = Json(nlohmann::json{{"state", draining ? "draining" : "live"}}.dump());
  if (draining) {
    response.headers.Add("Draining", "1");
  }
  return response;
}

http::Response TargetService::Load() {
  const std::lock_guard lock(mutex_);
  const base::Instant time = http::Now() - base::Duration::Milliseconds(faults_.load_lag_ms);
  const auto after = load_history_.upper_bound(time);
  std::int64_t n = after == load_history_.begin() ? 0 : std::prev(after)->second;
  if (faults_.lie_load >= 0) {
    n = faults_.lie_load;
  }
  load_history_.erase(load_history_.begin(),
                      after == load_history_.begin() ? after : std::prev(after));
  return Json(nlohmann::json{{"in_flight", n}, {"slots", options_.slots}}.dump());
}

http::Response TargetService::Runs(const http::Request& request) {
  const auto least = static_cast<std::uint64_t>(IntegerParameter(request, "min").value_or(1));
  const auto id = request.Parameter("id");
  const bool is_by_path = request.Parameter("by") == "path";
  const std::lock_guard lock(mutex_);
  nlohmann::json runs = nlohmann::json::object();
  for (const auto& [name, n] : is_by_path ? runs_of_path_ : runs_) {
    if (n >= least && (!id || *id == name)) {
      runs[name] = n;
    }
  }
  return Json(runs.dump());
}

http::Response TargetService::Counters() {
  const std::lock_guard lock(mutex_);
  return Json(nlohmann::json{{"requests", counters_.requests},
                             {"runs", counters_.runs},
                             {"completed", counters_.completed},
                             {"breaches", counters_.breaches},
                             {"shed", counters_.shed},
                             {"cancelled", counters_.cancelled},
                             {"deadline_passed", counters_.deadline_passed},
                             {"failed", counters_.failed},
                             {"while_draining", counters_.while_draining},
                             {"last_after_drain_ms", counters_.last_after_drain_ms},
                             {"in_flight", counters_.in_flight},
                             {"peak_in_flight", counters_.peak_in_flight}}
                  .dump());
}

http::Response TargetService::Fault(const http::Request& request) {
  const std::lock_guard lock(mutex_);
  const auto number = [&](std::string_view name, std::int64_t& value) {
    value = IntegerParameter(request, name).value_or(value);
  };
  const auto flag = [&](std::string_view name, bool& value) {
    value = IntegerParameter(request, name).value_or(value ? 1 : 0) != 0;
  };
  const bool was_draining = faults_.drain;
  flag("drain", faults_.drain);
  flag("drain_hidden", faults_.drain_hidden);
  flag("shed", faults_.shed);
  flag("chunked", faults_.chunked);
  number("delay_ms", faults_.delay_ms);
  number("lie_load", faults_.lie_load);
  number("load_lag_ms", faults_.load_lag_ms);
  number("cut_body", faults_.cut_body);
  number("cut_chunk", faults_.cut_chunk);
  number("end_by_close", faults_.end_by_close);
  number("wrong_id", faults_.wrong_id);
  number("close_after_read", faults_.close_after_read);
  number("fail", faults_.fail);
  number("fail_percent", faults_.fail_percent);
  if (const auto factor = request.Parameter("slow_factor")) {
    faults_.slow_factor = std::clamp(std::strtod(factor->c_str(), nullptr), 0.0, 1000.0);
  }
  if (request.Parameter("cold")) {
    cold_left_ = options_.cold_requests;
  }
  if (faults_.drain && !was_draining) {
    drain_since_ = http::Now();
  }
  return Text(200, "");
}

}  // namespace mangonotch::standins
