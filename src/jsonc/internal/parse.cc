// Parses a text with the SAX parser of nlohmann-json.
#include "jsonc/parse.h"

#include <string>

#include "jsonc/internal/line_iterator.h"
#include "jsonc/internal/tree_builder.h"

namespace mangonotch::jsonc {

Value Parse(std::string_view text, std::string_view file, const Limits& limits) {
  const std::string step = "parse " + std::string(file);
  FaultList faults(file);
  if (text.size() > limits.max_bytes) {
    faults.Add(0, "", "at most " + std::to_string(limits.max_bytes) + " bytes",
               std::to_string(text.size()) + " bytes");
    faults.ThrowIfAny(step);
  }
  int line = 1;
  // The parser treats a NUL byte as the end of the text, so it would accept garbage after one.
  if (const std::size_t n = text.find('\0'); n != std::string_view::npos) {
    faults.Add(0, "", "text without NUL bytes", "a NUL byte at offset " + std::to_string(n));
    faults.ThrowIfAny(step);
  }
  internal::TreeBuilder builder(&line, limits.max_depth, &faults);
  const bool parsed = nlohmann::json::sax_parse(
      internal::LineIterator(text.data(), &line),
      internal::LineIterator(text.data() + text.size(), &line), &builder,
      nlohmann::json::input_format_t::json, /*strict=*/true, /*ignore_comments=*/true);
  if (!parsed && faults.empty()) {
    faults.Add(line, "", "valid JSON with comments", "a syntax error");
  }
  faults.ThrowIfAny(step);
  return builder.TakeRoot();
}

}  // namespace mangonotch::jsonc
