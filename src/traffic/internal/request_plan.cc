// Implementation of traffic::PlanRequest.
#include "traffic/request_plan.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "http/url.h"

namespace mangonotch::traffic {
namespace {

constexpr std::string_view kServicePrefix = "/s/";
constexpr std::array<std::string_view, 5> kIdempotentMethods = {"GET", "HEAD", "OPTIONS", "PUT",
                                                                "DELETE"};

/// True when `path` starts with `prefix` at the border of a segment.
bool HasPathPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) return false;
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

const table::Route* FindRoute(const table::Service& service, std::string_view path) {
  const table::Route* best = nullptr;
  for (const table::Route& it : service.routes) {
    if (!HasPathPrefix(path, it.prefix)) continue;
    if (best == nullptr || it.prefix.size() > best->prefix.size()) best = &it;
  }
  return best;
}

bool IsIdempotent(const table::Route* route, std::string_view method) {
  if (std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(), method) !=
      kIdempotentMethods.end()) {
    return true;
  }
  if (route == nullptr) return false;
  const auto& methods = route->idempotent_methods;
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/// Time allowed in milliseconds, at most `longest`; empty for a header that is not a positive
/// number.
std::optional<std::int64_t> AllowedMs(const http::Request& request, std::int64_t longest) {
  const auto header = request.Header("Deadline-Ms");
  if (!header) return longest;
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(header->data(), header->data() + header->size(), n);
  if (ec != std::errc() || end != header->data() + header->size() || n <= 0) return std::nullopt;
  return std::min(n, longest);
}

}  // namespace

topology::Location LocateCaller(const control::SteeringTable& table, std::string_view address,
                                const Fallback& fallback) {
  const auto parsed = topology::ParseAddress(address);
  const auto found = parsed ? table.clients().Find(*parsed) : std::nullopt;
  return found.value_or(topology::Location{fallback.region, fallback.zone});
}

std::variant<RequestPlan, Served> PlanRequest(const control::SteeringTable& table,
                                              const http::Request& request,
                                              const Fallback& fallback, base::Instant now) {
  std::string_view rest = request.path;
  if (rest.starts_with(kServicePrefix)) rest.remove_prefix(kServicePrefix.size());
  const std::size_t slash = rest.find('/');
  const auto service = table.FindService(rest.substr(0, slash));
  if (!service) return Served::Refused(Outcome::kNotRun, RefusalReason::kNoService, 404);

  const std::string_view path =
      slash == std::string_view::npos ? std::string_view("/") : rest.substr(slash);
  const table::Service& entry = table.ServiceAt(*service);
  const table::Route* route = FindRoute(entry, path);

  RequestPlan plan;
  plan.service = *service;
  plan.work_class = route == nullptr ? base::WorkClass::kShort : route->work_class;
  plan.is_idempotent = IsIdempotent(route, request.method);
  plan.home = LocateCaller(table, request.peer, fallback).region;
  const std::int64_t longest =
      plan.work_class == base::WorkClass::kShort ? entry.short_deadline_ms : entry.long_deadline_ms;
  const auto allowed = AllowedMs(request, longest);
  if (!allowed) return Served::Refused(Outcome::kNotRun, RefusalReason::kBadRequest, 400);
  plan.deadline = now + base::Duration::Milliseconds(*allowed);
  plan.target_path = http::EncodePath(path);
  if (!request.query.empty()) plan.target_path += "?" + std::string(request.query);
  return plan;
}

}  // namespace mangonotch::traffic
