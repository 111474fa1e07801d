// Guards against lease records that are read otherwise than they were written: a wrong epoch or
// holder would give a region two coordinators.
#include "wire/region_record_json.h"

#include <catch2/catch.hpp>
#include <string>

#include "wire/decode_error.h"
#include "wire/limits.h"

namespace mangonotch::wire {
namespace {

shares::RegionRecord Record() {
  return {18446744073709551615ULL,
          {"a", "10.0.0.1:7001", 0xfedcba9876543210},
          {{"b", "[::1]:1", 2}},
          {{"a", "10.0.0.1:7001", 1}, {"c", "10.0.0.3:7001", 3}},
          4};
}

DecodeReason ReasonOf(const std::string& text) {
  try {
    DecodeRecord(text);
  } catch (const DecodeError& e) {
    return e.reason();
  }
  FAIL("the text was accepted: " + text);
  return {};
}

/// The record's text with its first `from` replaced.
std::string With(const std::string& from, const std::string& to) {
  std::string text = EncodeRecord(Record());
  const auto i = text.find(from);
  REQUIRE(i != std::string::npos);
  return text.replace(i, from.size(), to);
}

}  // namespace

TEST_CASE("A record survives its text, with numbers over 2^53") {
  REQUIRE(DecodeRecord(EncodeRecord(Record())) == Record());
  REQUIRE(DecodeRecord(EncodeRecord({})) == shares::RegionRecord{});
}

TEST_CASE("A record that is not exact is refused") {
  REQUIRE(ReasonOf("") == DecodeReason::kBadJson);
  REQUIRE(ReasonOf("{") == DecodeReason::kBadJson);
  REQUIRE(ReasonOf("[]") == DecodeReason::kBadField);
  REQUIRE(ReasonOf("{}") == DecodeReason::kBadField);
  REQUIRE(ReasonOf(With("\"renewal\":4", "\"renewal\":4,\"x\":1")) == DecodeReason::kBadField);
  REQUIRE(ReasonOf(With("\"renewal\":4", "\"renewal\":4,\"renewal\":5")) ==
          DecodeReason::kBadField);
  REQUIRE(ReasonOf(With("\"host\":\"a\"", "\"host\":\"a\",\"host\":\"b\"")) ==
          DecodeReason::kBadField);
  for (const char* number : {"-4", "4.0", "\"4\"", "18446744073709551616", "null"}) {
    REQUIRE(ReasonOf(With("\"renewal\":4", std::string("\"renewal\":") + number)) ==
            DecodeReason::kBadField);
  }
  REQUIRE(ReasonOf(With("fedcba9876543210", "FEDCBA9876543210")) == DecodeReason::kBadField);
  REQUIRE(ReasonOf(With("\"10.0.0.1:7001\"", "[[]]")) == DecodeReason::kBadField);
  REQUIRE(ReasonOf(With("10.0.0.1:7001", std::string(65, '1'))) == DecodeReason::kStringTooLong);
  REQUIRE(ReasonOf(std::string(kMaxRecordBytes + 1, ' ')) == DecodeReason::kTooLong);
  REQUIRE(ReasonOf(std::string(100'000, '[')) == DecodeReason::kBadField);
}

TEST_CASE("Lists over their bound are refused on both sides") {
  auto record = Record();
  record.standbys.resize(kMaxStandbys + 1);
  REQUIRE_THROWS_AS(EncodeRecord(record), base::Error);
  const std::string host = R"({"host":"b","incarnation":"0000000000000002","peer_address":""})";
  REQUIRE(ReasonOf(With("\"standbys\":[", "\"standbys\":[" + host + "," + host + ",")) ==
          DecodeReason::kTooManyEntries);
}

}  // namespace mangonotch::wire
