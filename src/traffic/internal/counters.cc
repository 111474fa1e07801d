// Names of the traffic metrics.
#include "traffic/counters.h"

#include <array>

namespace mangonotch::traffic {
namespace {

template <typename Enum, std::size_t kCount>
constexpr std::array<Enum, kCount> AllValues() {
  std::array<Enum, kCount> values{};
  for (std::size_t i = 0; i < kCount; ++i) values[i] = static_cast<Enum>(i);
  return values;
}

constexpr auto kRefusals = AllValues<RefusalReason, kRefusalReasons>();
constexpr auto kRetries = AllValues<RetryReason, kRetryReasons>();

}  // namespace

Counters::Counters(metrics::Registry& registry)
    : refusals(registry, "mangonotch_refusals_total", "Requests without a target's answer",
               "reason", kRefusals, static_cast<std::string_view (*)(RefusalReason)>(Name)),
      retries(registry, "mangonotch_retries_total", "Attempts repeated at another target", "reason",
              kRetries, static_cast<std::string_view (*)(RetryReason)>(Name)),
      lookups(registry.AddCounter("mangonotch_lookups_total", "Look-ups answered")),
      requests(registry.AddCounter("mangonotch_requests_total", "Requests to services")),
      attempts(registry.AddCounter("mangonotch_attempts_total", "Attempts at targets")),
      answered(registry.AddCounter("mangonotch_answered_total", "Whole answers relayed")),
      forwarded(registry.AddCounter("mangonotch_forwarded_total",
                                    "Requests passed on to the issuer of their ticket")) {}

}  // namespace mangonotch::traffic
