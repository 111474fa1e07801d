// Reads the platform's host list: {"hosts":[{"host":"...","state":"live"|"leaving"}, ...]}.
#pragma once

#include <string_view>
#include <vector>

#include "membership/members.h"

namespace mangonotch::control {

/// Throws base::Error when the text is not a host list. Unknown fields are ignored, because the
/// platform owns the format.
std::vector<membership::HostListEntry> ParseHostList(std::string_view text);

}  // namespace mangonotch::control
