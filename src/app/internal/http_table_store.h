// Reads and replaces the operators' table, which the key-value store keeps under the key `table`.
#pragma once

#include <string>
#include <string_view>

#include "publication/table_store.h"
#include "store/http_store.h"

namespace mangonotch::app {

class HttpTableStore {
 public:
  /// `address` is the ip:port of the key-value service.
  explicit HttpTableStore(const std::string& address);

  publication::ReadAnswer ReadTable();
  publication::SwapResult SwapTable(publication::StoreVersion expected, std::string_view value);

 private:
  store::HttpStore store_;
};

static_assert(publication::TableStore<HttpTableStore>);

}  // namespace mangonotch::app
