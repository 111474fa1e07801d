// Route lookup by host and path prefix.
#include "catalog/route_table.h"

#include <algorithm>
#include <string>

namespace mangonotch::catalog {
namespace {

std::string ToLowerAscii(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  }
  return lower;
}

std::string_view StripPort(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos) {
    return host;
  }
  return host.substr(0, colon);
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  if (!configuration_) return;
  for (const Route& it : configuration_->routes) routes_[ToLowerAscii(it.host)].push_back(&it);
  for (auto& [host, routes] : routes_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* a, const Route* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const auto entry = routes_.find(ToLowerAscii(StripPort(host)));
  if (entry == routes_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* it : entry->second) {
    if (path.substr(0, it->path_prefix.size()) == it->path_prefix) return it;
  }
  return nullptr;
}

}  // namespace mangonotch::catalog
