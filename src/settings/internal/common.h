// Functions that read the fields common to both kinds of settings files.
#pragma once

#include <string>
#include <string_view>

#include "jsonc/reader.h"
#include "logging/level.h"

namespace mangonotch::settings {

/// Reads a string that must not be empty.
std::string ReadName(jsonc::Reader& reader, std::string_view field);
/// Reads an ip:port and returns its text unchanged.
std::string ReadEndpoint(jsonc::Reader& reader, std::string_view field);
/// Reads the optional log level; it defaults to info.
logging::Level ReadLogLevel(jsonc::Reader& reader);
/// Returns the contents of a file. Throws base::Error when it cannot be read.
std::string ReadText(const std::string& path);

}  // namespace mangonotch::settings
