// What a request asks for, read from its path, method and headers under one table revision.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/instant.h"
#include "control/snapshot.h"
#include "http/server.h"
#include "traffic/served.h"

namespace mangonotch::traffic {

struct RequestPlan {
  base::ServiceIndex service;
  base::WorkClass work_class = base::WorkClass::kShort;
  bool is_idempotent = false;
  base::Instant deadline;
  /// Home of the caller; that of this host when no client block contains the caller.
  base::RegionIndex home;
  /// Encoded path and query for the target.
  std::string target_path;
};

/// Where a caller is when no client block of the table contains its address.
struct Fallback {
  base::RegionIndex region;
  base::ZoneIndex zone;
};

topology::Location LocateCaller(const control::SteeringTable& table, std::string_view address,
                                const Fallback& fallback);

/// `request.path` is "/s/<service>/<path>". Returns a refusal for an unknown service or a bad
/// deadline.
std::variant<RequestPlan, Served> PlanRequest(const control::SteeringTable& table,
                                              const http::Request& request,
                                              const Fallback& fallback, base::Instant now);

}  // namespace mangonotch::traffic
