// The open file numbers of this process.
#pragma once

#include <vector>

namespace mangonotch::http::internal {

std::vector<int> OpenFiles();

}  // namespace mangonotch::http::internal
