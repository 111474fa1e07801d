// Implementation of the field readers common to both kinds of settings files.
#include "settings/internal/common.h"

#include <fstream>
#include <map>
#include <sstream>

#include "base/endpoint.h"
#include "base/error.h"

namespace mangonotch::settings {

using jsonc::Reader;

std::string ReadName(Reader& reader, std::string_view field) {
  std::string name = reader.String(field);
  if (name.empty() && reader.Has(field)) {
    reader.AddFault(field, "a name", "an empty string");
  }
  return name;
}

std::string ReadEndpoint(Reader& reader, std::string_view field) {
  std::string text = reader.String(field);
  if (reader.Has(field) && !base::ParseEndpoint(text)) {
    reader.AddFault(field, "ip:port, such as 10.0.0.1:7000 or [2001:db8::1]:7000",
                    '"' + text + '"');
  }
  return text;
}

logging::Level ReadLogLevel(Reader& reader) {
  static const std::map<std::string, logging::Level, std::less<>> levels = {
      {"debug", logging::Level::kDebug},
      {"info", logging::Level::kInfo},
      {"warning", logging::Level::kWarning},
      {"error", logging::Level::kError}};
  const std::string text = reader.StringOr("log_level", "info");
  const auto it = levels.find(text);
  if (it == levels.end()) {
    reader.AddFault("log_level", "debug, info, warning or error", '"' + text + '"');
    return logging::Level::kInfo;
  }
  return it->second;
}

std::string ReadText(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || !text) {
    throw base::Error("read settings", path, "the file cannot be read");
  }
  return text.str();
}

}  // namespace mangonotch::settings
