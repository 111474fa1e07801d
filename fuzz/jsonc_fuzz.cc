// Guards against files and stored values that crash the parser or the printer, and against printed
// text that parses to a different value.
// fuzz: -runs=60000 -max_len=2000
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <variant>

#include "jsonc/fault.h"
#include "jsonc/parse.h"
#include "jsonc/print.h"

namespace {

namespace jsonc = mangonotch::jsonc;

/// Compares values, ignoring the source lines they were parsed from.
bool AreEqual(const jsonc::Value& a, const jsonc::Value& b) {
  if (a.data().index() != b.data().index()) return false;
  if (const auto* array = std::get_if<jsonc::Value::Array>(&a.data())) {
    const auto& other = std::get<jsonc::Value::Array>(b.data());
    return std::equal(array->begin(), array->end(), other.begin(), other.end(), AreEqual);
  }
  if (const auto* object = std::get_if<jsonc::Value::Object>(&a.data())) {
    const auto& other = std::get<jsonc::Value::Object>(b.data());
    return std::equal(object->begin(), object->end(), other.begin(), other.end(),
                      [](const auto& x, const auto& y) {
                        return x.name == y.name && AreEqual(x.value, y.value);
                      });
  }
  if (const auto* flag = std::get_if<bool>(&a.data())) return *flag == std::get<bool>(b.data());
  if (const auto* n = std::get_if<std::int64_t>(&a.data())) {
    return *n == std::get<std::int64_t>(b.data());
  }
  if (const auto* x = std::get_if<double>(&a.data())) return *x == std::get<double>(b.data());
  if (const auto* text = std::get_if<std::string>(&a.data())) {
    return *text == std::get<std::string>(b.data());
  }
  return true;  // Both are null.
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  jsonc::Value value;
  try {
    value = jsonc::Parse(text, "input");
  } catch (const jsonc::FaultError&) {
    return 0;
  }
  // A parse error in printed text is a finding, so it is not caught.
  if (!AreEqual(jsonc::Parse(jsonc::Print(value), "printed"), value) ||
      !AreEqual(jsonc::Parse(jsonc::PrintCompact(value), "compact"), value)) {
    std::abort();
  }
  return 0;
}
