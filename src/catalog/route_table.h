// Finds the route of a request: among the routes of its host, the one with the longest path prefix
// that matches.
#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/catalog.h"

namespace mangonotch::catalog {

class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  /// Returns null when no route matches. `host` may include a port, which is ignored; `target` is a
  /// path and may include a query. The route lives as long as the table.
  const Route* Find(std::string_view host, std::string_view target) const;

 private:
  std::shared_ptr<const Configuration> configuration_;
  /// Routes by host in lower case, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routes_;
};

}  // namespace mangonotch::catalog
