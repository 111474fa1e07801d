// Implementation of app::HttpTableStore.
#include "app/internal/http_table_store.h"

#include "app/internal/command.h"
#include "http/clock.h"

namespace mangonotch::app {
namespace {

constexpr std::string_view kTableKey = "table";

}  // namespace

HttpTableStore::HttpTableStore(const std::string& address)
    : store_(http::Endpoint::Parse(address)) {}

publication::ReadAnswer HttpTableStore::ReadTable() {
  using Status = publication::ReadAnswer::Status;
  const store::ReadResult result = store_.Get(kTableKey, http::Now() + kRequestTimeout);
  switch (result.status) {
    case store::ReadStatus::kOk:
      return {Status::kFound, result.version, result.value};
    case store::ReadStatus::kNotFound:
      return {Status::kAbsent, 0, ""};
    default:
      return {Status::kUnavailable, 0, ""};
  }
}

publication::SwapResult HttpTableStore::SwapTable(publication::StoreVersion expected,
                                                  std::string_view value) {
  const store::WriteResult result =
      store_.Put(kTableKey, expected, value, http::Now() + kRequestTimeout);
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
