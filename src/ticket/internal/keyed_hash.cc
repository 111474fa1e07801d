// SipHash-2-4 as published by Aumasson and Bernstein in 2012: two rounds per word, four at the end.
#include "ticket/keyed_hash.h"

#include <bit>

namespace mangonotch::ticket {
namespace {

constexpr std::size_t kWordBytes = 8;

std::uint64_t LoadWord(std::string_view text) {
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < kWordBytes; ++i) {
    word |= static_cast<std::uint64_t>(static_cast<unsigned char>(text[i])) << (8 * i);
  }
  return word;
}

}  // namespace

KeyedHash::KeyedHash(const Secret& secret)
    : state_{secret[0] ^ 0x736f6d6570736575ULL, secret[1] ^ 0x646f72616e646f6dULL,
             secret[0] ^ 0x6c7967656e657261ULL, secret[1] ^ 0x7465646279746573ULL} {}

void KeyedHash::Round() {
  auto& v = state_;
  v[0] += v[1];
  v[1] = std::rotl(v[1], 13) ^ v[0];
  v[0] = std::rotl(v[0], 32);
  v[2] += v[3];
  v[3] = std::rotl(v[3], 16) ^ v[2];
  v[0] += v[3];
  v[3] = std::rotl(v[3], 21) ^ v[0];
  v[2] += v[1];
  v[1] = std::rotl(v[1], 17) ^ v[2];
  v[2] = std::rotl(v[2], 32);
}

void KeyedHash::Compress(std::uint64_t word) {
  state_[3] ^= word;
  Round();
  Round();
  state_[0] ^= word;
}

void KeyedHash::Add(std::string_view text) {
  while (!text.empty()) {
    if (length_ % kWordBytes == 0 && text.size() >= kWordBytes) {
      Compress(LoadWord(text));
      length_ += kWordBytes;
      text.remove_prefix(kWordBytes);
      continue;
    }
    const auto byte = static_cast<unsigned char>(text.front());
    tail_ |= static_cast<std::uint64_t>(byte) << (8 * (length_ % kWordBytes));
    ++length_;
    text.remove_prefix(1);
    if (length_ % kWordBytes == 0) {
      Compress(tail_);
      tail_ = 0;
    }
  }
}

void KeyedHash::Add(std::uint64_t value) {
  std::array<char, kWordBytes> bytes;
  for (std::size_t i = 0; i < kWordBytes; ++i) {
    bytes[i] = static_cast<char>(value >> (8 * i));
  }
  Add(std::string_view(bytes.data(), bytes.size()));
}

void KeyedHash::AddField(std::string_view text) {
  Add(static_cast<std::uint64_t>(text.size()));
  Add(text);
}

std::uint64_t KeyedHash::Finish() {
  Compress(tail_ | (static_cast<std::uint64_t>(length_) << 56));
  state_[2] ^= 0xff;
  for (int i = 0; i < 4; ++i) {
    Round();
  }
  return state_[0] ^ state_[1] ^ state_[2] ^ state_[3];
}

}  // namespace mangonotch::ticket
