// What the readers of both settings files share.
#pragma once

#include <string>
#include <string_view>

#include "jsonc/reader.h"
#include "logging/level.h"

namespace mangonotch::settings {

/// A text that must not be empty.
std::string ReadName(jsonc::Reader& reader, std::string_view field);
/// An ip:port; the text as it stands in the file.
std::string ReadEndpoint(jsonc::Reader& reader, std::string_view field);
/// Optional; info without one.
logging::Level ReadLogLevel(jsonc::Reader& reader);
/// Contents of a file. Throws base::Error when it cannot be read.
std::string ReadText(const std::string& path);

}  // namespace mangonotch::settings
