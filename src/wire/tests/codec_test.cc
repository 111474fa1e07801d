// Guards against messages that change on their way, and against bytes from strangers that are
// accepted, read past their end or allocate without bound.
#include "wire/codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <span>
#include <sstream>
#include <string>

#include "wire/decode_error.h"
#include "wire/internal/layout.h"
#include "wire/limits.h"
#include "wire/split.h"

namespace mangonotch::wire {
namespace {

using Bytes = std::vector<std::byte>;

membership::HostRef Ref() { return {"alfold-1", "[::1]:7001", 0x1122334455667788}; }

membership::HostInfo Host(int i) {
  return {{"host-" + std::to_string(i), "10.0.0.1:7001", 5},
          "10.0.0.1:80",
          "10.0.0.1:81",
          "alfold",
          "alfold-a",
          7,
          true,
          900};
}

shares::Heartbeat LargeHeartbeat(std::uint16_t lines) {
  shares::Heartbeat message{Host(1), 4, 5, 6, "alfold", {}, {}, {}};
  for (std::uint16_t i = 0; i < lines; ++i) {
    message.holdings.push_back({{i}, base::WorkClass::kLong, i, 1});
    message.demand.push_back({{i}, base::WorkClass::kShort, i});
    message.marks.push_back({{i}, i % 2 == 0, i});
  }
  return message;
}

std::vector<Message> OneOfEach() {
  return {
      LargeHeartbeat(2),
      shares::HeartbeatReply{
          Ref(), "r", 1, 2, 3, {{{9}, base::WorkClass::kLong, 4}}, {Host(1)}, {{{8}, false, 6}}},
      shares::PromiseRequest{Ref(), "r", 1, 2},
      shares::Promise{Ref(), "r", 1, 2, true},
      membership::Announcement{Ref(), 3, {{{8}, true, 6}}},
      membership::RegionSummary{Ref(), "r", 1, 2, {Host(1), Host(2)}, {{{8}, true, 6}}}};
}

Bytes Encoded(const Message& message) {
  Bytes out;
  Encode(message, 77, out);
  return out;
}

DecodeReason ReasonOf(std::span<const std::byte> bytes) {
  try {
    Decode(bytes);
  } catch (const DecodeError& e) {
    return e.reason();
  }
  FAIL("the bytes were accepted");
  return {};
}

/// Position of the first byte of a message's fields.
constexpr std::size_t kHead = 24;

}  // namespace

TEST_CASE("Every kind of message survives its encoding") {
  REQUIRE(OneOfEach().size() == std::variant_size_v<Message>);
  for (const Message& message : OneOfEach()) {
    const Bytes bytes = Encoded(message);
    REQUIRE(bytes.size() == EncodedSize(message));
    REQUIRE(Decode(bytes) == Packet{77, message});
  }
}

TEST_CASE("Every cut of a message is refused, and so is a byte too many") {
  for (const Message& message : OneOfEach()) {
    Bytes bytes = Encoded(message);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      const auto reason = ReasonOf(std::span(bytes).first(n));
      REQUIRE(reason == (n < kHead ? DecodeReason::kTooShort : DecodeReason::kTruncated));
    }
    bytes.push_back(std::byte{0});
    REQUIRE(ReasonOf(bytes) == DecodeReason::kTrailingBytes);
  }
}

TEST_CASE("A false head is refused with its reason") {
  const Bytes good = Encoded(shares::Promise{Ref(), "r", 1, 2, true});
  const auto with = [&good](std::size_t i, int value) {
    Bytes bytes = good;
    bytes[i] = static_cast<std::byte>(value);
    return ReasonOf(bytes);
  };
  REQUIRE(with(0, 0) == DecodeReason::kWrongMagic);
  REQUIRE(with(1, 0) == DecodeReason::kWrongMagic);
  REQUIRE(with(5, 9) == DecodeReason::kWrongVersion);
  REQUIRE(with(7, 6) == DecodeReason::kUnknownKind);
  REQUIRE(with(8, 0) == DecodeReason::kBadValue);
  REQUIRE(with(kHead, 65) == DecodeReason::kStringTooLong);
  REQUIRE(with(good.size() - 1, 2) == DecodeReason::kBadValue);
  REQUIRE(ReasonOf(Bytes(kMaxDatagramBytes + 1)) == DecodeReason::kTooLong);
}

TEST_CASE("A message in the other byte order is refused, so that each has one encoding") {
  std::ostringstream stream;
  internal::OutputArchive ar(stream, internal::OutputArchive::Options::BigEndian());
  shares::PromiseRequest message{Ref(), "r", 1, 2};
  ar(kMagic, kVersion, std::uint8_t{2}, Ref().incarnation, std::uint64_t{1}, message);
  const std::string text = stream.str();
  REQUIRE(ReasonOf(std::as_bytes(std::span(text))) == DecodeReason::kWrongMagic);
}

TEST_CASE("A count over the bound is refused before its lines are read") {
  Bytes bytes = Encoded(membership::Announcement{Ref(), 3, {}});
  bytes[bytes.size() - 2] = std::byte{kMaxLines + 1};
  REQUIRE(ReasonOf(bytes) == DecodeReason::kTooManyEntries);
}

TEST_CASE("A message over a bound is refused by its sender") {
  Bytes out;
  REQUIRE_THROWS_AS(Encode(LargeHeartbeat(60), 1, out), base::Error);
  REQUIRE_THROWS_AS(Encode(LargeHeartbeat(kMaxLines + 1), 1, out), base::Error);
  auto promise = shares::Promise{Ref(), std::string(kMaxRegionBytes + 1, 'r'), 1, 2, true};
  REQUIRE_THROWS_AS(Encode(promise, 1, out), base::Error);
}

TEST_CASE("A split message loses, repeats and reorders no line, and every part fits") {
  const auto whole = LargeHeartbeat(500);
  auto joined = LargeHeartbeat(0);
  const auto parts = SplitHeartbeat(whole);
  REQUIRE(parts.size() > 10);
  for (const auto& part : parts) {
    REQUIRE(Decode(Encoded(part)).message == Message(part));
    joined.holdings.insert(joined.holdings.end(), part.holdings.begin(), part.holdings.end());
    joined.demand.insert(joined.demand.end(), part.demand.begin(), part.demand.end());
    joined.marks.insert(joined.marks.end(), part.marks.begin(), part.marks.end());
  }
  REQUIRE(joined == whole);
  REQUIRE(SplitHeartbeat(LargeHeartbeat(0)).size() == 1);
}

TEST_CASE("Summaries of the largest region split into parts that fit") {
  membership::RegionSummary whole{Ref(), "r", 1, 2, {}, {}};
  for (int i = 0; i < 60; ++i) {
    whole.hosts.push_back(Host(i));
  }
  std::vector<membership::HostInfo> joined;
  for (const auto& part : SplitSummary(whole)) {
    REQUIRE(Encoded(part).size() <= kMaxDatagramBytes);
    joined.insert(joined.end(), part.hosts.begin(), part.hosts.end());
  }
  REQUIRE(joined == whole.hosts);
}

TEST_CASE("Changed bytes are refused or give a message that encodes to the same bytes") {
  REQUIRE(rc::check([] {
    const auto messages = OneOfEach();
    Bytes bytes = Encoded(messages[*rc::gen::inRange<std::size_t>(0, messages.size())]);
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          static_cast<std::byte>(*rc::gen::arbitrary<std::uint8_t>());
    }
    try {
      const Packet packet = Decode(bytes);
      Bytes again;
      Encode(packet.message, packet.sequence, again);
      RC_ASSERT(again == bytes);
    } catch (const DecodeError& e) {
      RC_ASSERT(!ToString(e.reason()).empty());
    }
  }));
}

}  // namespace mangonotch::wire
