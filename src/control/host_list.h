// Reads the platform's host list: {"hosts":[{"host":"...","state":"live"|"leaving"}, ...]}.
#pragma once

#include <string_view>
#include <vector>

#include "membership/members.h"

namespace mangonotch::control {

/// Throws base::Error for a text that is no host list. Unknown fields are passed over, as the
/// platform owns the format.
std::vector<membership::HostListEntry> ParseHostList(std::string_view text);

}  // namespace mangonotch::control
