// The store's key `table` as the publication of an edit needs it.
#pragma once

#include <string>
#include <string_view>

#include "publication/table_store.h"
#include "store/http_store.h"

namespace mangonotch::app {

class StoreTable {
 public:
  /// `address` is the store's ip:port.
  explicit StoreTable(const std::string& address);

  publication::ReadAnswer ReadTable();
  publication::SwapResult SwapTable(publication::StoreVersion expected, std::string_view value);

 private:
  store::HttpStore store_;
};

static_assert(publication::TableStore<StoreTable>);

}  // namespace mangonotch::app
