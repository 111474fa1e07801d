// Service lookup and route matching.
#include "table/request_classifier.h"

#include <algorithm>
#include <array>

namespace mangonotch::table {
namespace {

constexpr std::array<std::string_view, 5> kIdempotentMethods = {"GET", "HEAD", "OPTIONS", "PUT",
                                                                "DELETE"};

std::string_view WithoutQuery(std::string_view path) {
  return path.substr(0, path.find_first_of("?#"));
}

/// True when `path` starts with `prefix` and the prefix ends at a segment boundary.
bool MatchesPrefix(std::string_view prefix, std::string_view path) {
  return path.substr(0, prefix.size()) == prefix &&
         (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/');
}

/// True when a target might normalize the path to another one.
bool IsAmbiguous(std::string_view path) {
  return path.find_first_of("%\\;") != std::string_view::npos ||
         path.find("//") != std::string_view::npos || path.find("/.") != std::string_view::npos;
}

template <typename Methods>
bool Contains(const Methods& methods, std::string_view method) {
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

}  // namespace

RequestClassifier::RequestClassifier(const Table& table) {
  for (const Service& service : table.services) {
    names_.push_back({service.name, {static_cast<std::uint32_t>(services_.size())}});
    ServiceRoutes entry{service.short_deadline_ms, service.long_deadline_ms, service.routes};
    std::stable_sort(entry.routes.begin(), entry.routes.end(), [](const Route& a, const Route& b) {
      return a.prefix.size() > b.prefix.size();
    });
    services_.push_back(std::move(entry));
  }
  std::sort(names_.begin(), names_.end(),
            [](const Name& a, const Name& b) { return a.name < b.name; });
}

std::optional<base::ServiceIndex> RequestClassifier::FindService(std::string_view name) const {
  const auto it = std::lower_bound(
      names_.begin(), names_.end(), name,
      [](const Name& entry, std::string_view wanted) { return entry.name < wanted; });
  if (it == names_.end() || it->name != name) {
    return std::nullopt;
  }
  return it->index;
}

RequestProfile RequestClassifier::Classify(base::ServiceIndex service, std::string_view method,
                                           std::string_view path) const {
  const ServiceRoutes& entry = services_[service.value];
  const std::string_view path_only = WithoutQuery(path);
  const auto it = std::find_if(entry.routes.begin(), entry.routes.end(), [&](const Route& route) {
    return MatchesPrefix(route.prefix, path_only);
  });
  RequestProfile profile{base::WorkClass::kShort, Contains(kIdempotentMethods, method),
                         entry.short_deadline_ms};
  if (it == entry.routes.end()) {
    return profile;
  }
  if (it->work_class == base::WorkClass::kLong) {
    profile.work_class = base::WorkClass::kLong;
    profile.deadline_ms = entry.long_deadline_ms;
  }
  if (!profile.is_idempotent && !IsAmbiguous(path_only)) {
    profile.is_idempotent = Contains(it->idempotent_methods, method);
  }
  return profile;
}

}  // namespace mangonotch::table
