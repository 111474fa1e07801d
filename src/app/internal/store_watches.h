// The watches of the platform's store that keep the registry up to date: targets and the operators'
// records, each by a feed of its own.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>

#include "catalog/store_position.h"
#include "platform/prefix_feed.h"
#include "platform/store_client.h"
#include "platform/store_sinks.h"

namespace mangonotch::app {

class StoreWatches {
 public:
  /// `context`, `store` and the references in `sinks` must outlive this object. Stopped at first.
  StoreWatches(boost::asio::io_context& context, platform::StoreClient& store,
               const platform::SinkContext& sinks);

  void SetActive(bool is_active);
  bool is_active() const { return targets_feed_.is_active(); }
  /// Both watches are active, and the last call of each was answered.
  bool is_fresh() const { return targets_feed_.is_fresh() && operator_records_feed_.is_fresh(); }
  /// When the store answered the first call for targets since the watches were last started;
  /// Never() before.
  base::Instant answered_since() const { return targets_feed_.answered_since(); }
  /// When the store last answered a call of either watch.
  base::Instant last_answer_at() const {
    return std::max(targets_feed_.last_answer_at(), operator_records_feed_.last_answer_at());
  }
  /// Another host knows changes up to `newest`: a watch that should have delivered them is renewed.
  void OnChangeMissed(const catalog::StorePosition& newest);

 private:
  platform::TargetsSink targets_sink_;
  platform::OperatorRecordsSink operator_records_sink_;
  platform::PrefixFeed<platform::TargetsSink> targets_feed_;
  platform::PrefixFeed<platform::OperatorRecordsSink> operator_records_feed_;
};

}  // namespace mangonotch::app
