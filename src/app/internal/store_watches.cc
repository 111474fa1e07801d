// Pacing of the two feeds.
#include "app/internal/store_watches.h"

#include <string>

#include "app/internal/random_incarnation.h"
#include "platform/records.h"

namespace mangonotch::app {
namespace {

using base::Duration;

/// Entries change in bursts when many targets start or leave together; the interval lets one watch
/// response cover a burst. The wait bounds the time until an unresponsive store is detected.
constexpr platform::WatchPacing kTargetsPacing = {.wait = Duration::Milliseconds(3000),
                                                  .interval = Duration::Milliseconds(250)};
constexpr platform::WatchPacing kOperatorRecordsPacing = {.wait = Duration::Milliseconds(3500),
                                                          .interval = Duration::Milliseconds(100)};

}  // namespace

StoreWatches::StoreWatches(boost::asio::io_context& context, platform::StoreClient& store,
                           const platform::SinkContext& sinks)
    : targets_sink_(sinks),
      operator_records_sink_(sinks),
      targets_feed_(context, store, std::string(platform::kTargetsPrefix), kTargetsPacing,
                    RandomIncarnation(), targets_sink_),
      operator_records_feed_(context, store, std::string(platform::kOperatorPrefix),
                             kOperatorRecordsPacing, RandomIncarnation(), operator_records_sink_) {}

void StoreWatches::SetActive(bool is_active) {
  targets_feed_.SetActive(is_active);
  operator_records_feed_.SetActive(is_active);
}

void StoreWatches::OnChangeMissed(const catalog::StorePosition& newest) {
  targets_feed_.OnChangeMissed(newest.targets);
  operator_records_feed_.OnChangeMissed(newest.operator_records);
}

}  // namespace mangonotch::app
