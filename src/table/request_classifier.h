// Finds services by name and classifies requests by their route. Runs for every request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "table/table.h"

namespace mangonotch::table {

/// Class, idempotency and deadline of a request according to the table.
struct RequestProfile {
  base::WorkClass work_class = base::WorkClass::kShort;
  /// The request may be executed more than once.
  bool is_idempotent = false;
  /// Both the default and the maximum deadline.
  std::uint32_t deadline_ms = 0;

  bool operator==(const RequestProfile&) const = default;
};

/// Immutable, and independent of the table it was built from. Lookups allocate no memory.
class RequestClassifier {
 public:
  explicit RequestClassifier(const Table& table);

  std::optional<base::ServiceIndex> FindService(std::string_view name) const;

  /// `path` starts with a slash and may contain a query. The route with the longest prefix that
  /// matches whole path segments applies; a request without a route is short. The idempotent
  /// methods of a route are ignored for a path that a target might normalize to another one
  /// (escapes, backslashes, parameters, dot segments or empty segments): if the target resolved it
  /// to another route, a request that is not idempotent could run twice.
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

  /// Indexed by the service's position in the table.
  std::vector<ServiceRoutes> services_;
  /// Sorted by name.
  std::vector<Name> names_;
};

}  // namespace mangonotch::table
