// Bounded forms of the types in messages for cereal. cereal's own strings and vectors take their
// size from the input and allocate it before they read, so they are not used here.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <streambuf>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "wire/decode_error.h"
#include "wire/limits.h"

namespace mangonotch::wire::internal {

using OutputArchive = cereal::PortableBinaryOutputArchive;
using InputArchive = cereal::PortableBinaryInputArchive;

/// Reads from memory that it does not own.
class SpanBuffer : public std::streambuf {
 public:
  explicit SpanBuffer(std::span<const std::byte> bytes) {
    // The get area is never written to.
    auto* begin = const_cast<char*>(reinterpret_cast<const char*>(bytes.data()));
    setg(begin, begin, begin + bytes.size());
  }

  std::size_t remaining() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

/// Appends to a vector.
class VectorBuffer : public std::streambuf {
 public:
  explicit VectorBuffer(std::vector<std::byte>& out) : out_(out) {}

 protected:
  std::streamsize xsputn(const char* data, std::streamsize n) override {
    const auto* begin = reinterpret_cast<const std::byte*>(data);
    out_.insert(out_.end(), begin, begin + n);
    return n;
  }
  int_type overflow(int_type c) override {
    out_.push_back(static_cast<std::byte>(c));
    return c;
  }

 private:
  std::vector<std::byte>& out_;
};

/// Counts bytes only.
class CountBuffer : public std::streambuf {
 public:
  std::size_t count() const { return count_; }

 protected:
  std::streamsize xsputn(const char* /*data*/, std::streamsize n) override {
    count_ += static_cast<std::size_t>(n);
    return n;
  }
  int_type overflow(int_type c) override {
    ++count_;
    return c;
  }

 private:
  std::size_t count_ = 0;
};

/// A string of at most `max` (under 256) bytes after one byte of length.
class Text {
 public:
  Text(std::string& value, std::size_t max) : value_(value), max_(max) {}

  template <class Archive>
  void save(Archive& ar) const {
    if (value_.size() > max_) {
      throw base::Error("encode message", "", "string over its bound: " + value_);
    }
    ar(static_cast<std::uint8_t>(value_.size()));
    ar(cereal::binary_data(value_.data(), value_.size()));
  }

  template <class Archive>
  void load(Archive& ar) {
    std::uint8_t n = 0;
    ar(n);
    if (n > max_) {
      throw DecodeError(DecodeReason::kStringTooLong);
    }
    value_.resize(n);
    ar(cereal::binary_data(value_.data(), value_.size()));
  }

 private:
  std::string& value_;
  std::size_t max_;
};

/// A list of at most `kMaxLines` after two bytes of count. It grows as lines are read, so that a
/// false count allocates nothing.
template <class T>
class List {
 public:
  explicit List(std::vector<T>& items) : items_(items) {}

  template <class Archive>
  void save(Archive& ar) const {
    if (items_.size() > kMaxLines) {
      throw base::Error("encode message", "", "too many lines: " + std::to_string(items_.size()));
    }
    ar(static_cast<std::uint16_t>(items_.size()));
    for (const T& item : items_) {
      ar(item);
    }
  }

  template <class Archive>
  void load(Archive& ar) {
    std::uint16_t n = 0;
    ar(n);
    if (n > kMaxLines) {
      throw DecodeError(DecodeReason::kTooManyEntries);
    }
    items_.clear();
    for (std::uint16_t i = 0; i < n; ++i) {
      ar(items_.emplace_back());
    }
  }

 private:
  std::vector<T>& items_;
};

/// A value of a small type with the values 0 and 1, in one byte. Loading any other byte into a bool
/// or an enumeration would be undefined.
template <class T>
class Binary {
 public:
  explicit Binary(T& value) : value_(value) {}

  template <class Archive>
  void save(Archive& ar) const {
    ar(static_cast<std::uint8_t>(value_));
  }

  template <class Archive>
  void load(Archive& ar) {
    std::uint8_t n = 0;
    ar(n);
    if (n > 1) {
      throw DecodeError(DecodeReason::kBadValue);
    }
    value_ = static_cast<T>(n);
  }

 private:
  T& value_;
};

}  // namespace mangonotch::wire::internal
