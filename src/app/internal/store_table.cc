// Implementation of app::StoreTable.
#include "app/internal/store_table.h"

#include "app/internal/command.h"
#include "http/clock.h"

namespace mangonotch::app {
namespace {

constexpr std::string_view kTableKey = "table";

}  // namespace

StoreTable::StoreTable(const std::string& address) : store_(http::Endpoint::Parse(address)) {}

publication::ReadAnswer StoreTable::ReadTable() {
  using Status = publication::ReadAnswer::Status;
  const store::ReadResult result = store_.Get(kTableKey, http::Now() + kCallTime);
  switch (result.status) {
    case store::ReadStatus::kOk:
      return {Status::kFound, result.version, result.value};
    case store::ReadStatus::kNotFound:
      return {Status::kAbsent, 0, ""};
    default:
      return {Status::kUnavailable, 0, ""};
  }
}

publication::SwapResult StoreTable::SwapTable(publication::StoreVersion expected,
                                              std::string_view value) {
  const store::WriteResult result = store_.Put(kTableKey, expected, value, http::Now() + kCallTime);
  switch (result.status) {
    case store::WriteStatus::kOk:
      return publication::SwapResult::kSwapped;
    case store::WriteStatus::kConflict:
      return publication::SwapResult::kConflict;
    case store::WriteStatus::kUnavailable:
      return publication::SwapResult::kNotSent;
    default:
      return publication::SwapResult::kAnswerLost;
  }
}

}  // namespace mangonotch::app
