// Implementation of traffic::PlanRequest.
#include "traffic/request_plan.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include "http/url.h"

namespace mangonotch::traffic {
namespace {

constexpr std::string_view kServicePrefix = "/s/";

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
  RequestPlan plan;
  // Encoded again, so that the classifier sees what a target might read in another way.
  plan.target_path = http::EncodePath(path);
  const table::RequestProfile kind =
      table.classifier().Classify(*service, request.method, plan.target_path);
  plan.service = *service;
  plan.work_class = kind.work_class;
  plan.is_idempotent = kind.is_idempotent;
  plan.home = LocateCaller(table, request.peer, fallback).region;
  const auto allowed = AllowedMs(request, kind.deadline_ms);
  if (!allowed) return Served::Refused(Outcome::kNotRun, RefusalReason::kBadRequest, 400);
  plan.deadline = now + base::Duration::Milliseconds(*allowed);
  if (!request.query.empty()) plan.target_path += "?" + std::string(request.query);
  return plan;
}

}  // namespace mangonotch::traffic
