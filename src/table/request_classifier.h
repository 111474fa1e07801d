// Looks up services by name and classes requests by their route, on the path of every request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "table/table.h"

namespace mangonotch::table {

/// What the table says about one request.
struct RequestProfile {
  base::WorkClass work_class = base::WorkClass::kShort;
  /// The request may run more than once.
  bool is_idempotent = false;
  /// Default and maximum of its deadline.
  std::uint32_t deadline_ms = 0;

  bool operator==(const RequestProfile&) const = default;
};

/// Immutable and independent of the table it was made from; calls allocate nothing.
class RequestClassifier {
 public:
  explicit RequestClassifier(const Table& table);

  std::optional<base::ServiceIndex> FindService(std::string_view name) const;

  /// `path` starts with a slash and may carry a query. The longest prefix that matches whole
  /// segments decides; without one the request is short. A path that a target might resolve to
  /// another one (escapes, dot or empty segments) gets no idempotent methods of a route: its
  /// request would run twice if the target's reading differs from ours.
  RequestProfile Classify(base::ServiceIndex service, std::string_view method,
                          std::string_view path) const;

 private:
  struct ServiceRoutes {
    std::uint32_t short_deadline_ms = 0;
    std::uint32_t long_deadline_ms = 0;
    /// Longest prefix first.
    std::vector<Route> routes;
  };
  struct Name {
    std::string name;
    base::ServiceIndex index;
  };

  /// By position in the table.
  std::vector<ServiceRoutes> services_;
  /// Sorted by name.
  std::vector<Name> names_;
};

}  // namespace mangonotch::table
