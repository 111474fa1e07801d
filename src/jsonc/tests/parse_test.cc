// Guards against accepting a file that has duplicate fields or text after its value, and against
// faults that are reported with the wrong line.
#include "jsonc/parse.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "jsonc/print.h"

namespace mangonotch::jsonc {
namespace {

std::vector<Fault> FaultsOf(std::string_view text, const Limits& limits = {}) {
  try {
    Parse(text, "f", limits);
  } catch (const FaultError& ex) {
    return {ex.faults().begin(), ex.faults().end()};
  }
  return {};
}

}  // namespace

TEST_CASE("Values have the right line after comments and after numbers at the end of a line") {
  const Value root =
      Parse("// one\n{ /* two\n three */ \"a\":\n 5\n,\"b\": [true,\n \"x\"]}\n", "f");
  REQUIRE(root.line() == 2);
  REQUIRE(root.Find("a")->line() == 4);
  REQUIRE(root.Find("b")->line() == 5);
  REQUIRE(std::get<Value::Array>(root.Find("b")->data())[1].line() == 6);
  REQUIRE(root.Find("c") == nullptr);
}

TEST_CASE("All duplicate fields are reported with line and path") {
  const auto faults = FaultsOf("{\"s\": [{}, {\"a\": 1,\n\"a\": 2}],\n\"s\": 3}");
  REQUIRE(faults.size() == 2);
  REQUIRE(faults[0].line == 2);
  REQUIRE(faults[0].path == "s[1].a");
  REQUIRE(faults[1].line == 3);
}

TEST_CASE("Text after the value is a fault, also after a NUL byte") {
  REQUIRE(FaultsOf("{}\n x").at(0).line == 2);
  REQUIRE(FaultsOf(std::string_view("{}\0 x", 5)).size() == 1);
  REQUIRE(FaultsOf("{} // comment\n").empty());
}

TEST_CASE("Syntax errors are reported with their line") {
  for (const std::string_view text : {"", "{\"a\":\n}", "[1,\n]", "{\"a\": \"\n\"}", "[1e999]",
                                      "[\"\xff\"]", "/* open", "{a: 1}"}) {
    CAPTURE(text);
    const auto faults = FaultsOf(text);
    REQUIRE(faults.size() == 1);
    REQUIRE(faults[0].line >= 1);
  }
  REQUIRE(FaultsOf("{\"a\":\n}").at(0).line == 2);
}

TEST_CASE("Size and nesting depth are limited") {
  REQUIRE(FaultsOf("[1, 2]", {.max_bytes = 5}).size() == 1);
  REQUIRE(FaultsOf("[1, 2]", {.max_bytes = 6}).empty());
  REQUIRE(FaultsOf("[[[]]]", {.max_depth = 2}).size() == 1);
  REQUIRE(FaultsOf("[[[]]]", {.max_depth = 3}).empty());
  REQUIRE(FaultsOf(std::string(500'000, '[')).size() == 1);
}

TEST_CASE("Printed values parse back to equal values") {
  REQUIRE(rc::check([](const std::vector<std::pair<std::string, std::int64_t>>& pairs) {
    Value::Array array;
    for (const auto& [text, n] : pairs) {
      std::string name = "f";
      for (const char c : text) {
        name += static_cast<char>(static_cast<unsigned char>(c) % 127 + 1);
      }
      array.emplace_back(Value::Object{{name, 0, Value(n)}, {name + "2", 0, Value(name)}});
    }
    const Value value{Value::Data(array)};
    const std::string text = Print(value);
    RC_ASSERT(Print(Parse(text, "f")) == text);
    RC_ASSERT(PrintCompact(Parse(text, "f")) == PrintCompact(value));
  }));
}

}  // namespace mangonotch::jsonc
