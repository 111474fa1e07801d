// An output stream for log lines that never blocks its writer: a bounded buffer holds lines until
// the descriptor accepts them; lines that do not fit are dropped and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <ostream>
#include <streambuf>
#include <string>

namespace mangonotch::logging {

class BoundedBuffer : public std::streambuf {
 public:
  /// Writes to `descriptor` without closing it. `max_bytes` limits the size of the pending lines.
  BoundedBuffer(int descriptor, std::size_t max_bytes)
      : descriptor_(descriptor), max_bytes_(max_bytes) {}

  /// Writes as many pending bytes as the descriptor accepts without blocking.
  void Flush();
  std::uint64_t dropped_lines() const;

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize n) override;
  /// Marks the end of a line, as Boost.Log flushes after each record.
  int sync() override;

 private:
  void WritePending();

  mutable std::mutex mutex_;
  const int descriptor_;
  const std::size_t max_bytes_;
  /// The line being assembled.
  std::string line_;
  /// Complete lines to write; only the unwritten rest of the first one if it was partly written.
  std::string pending_;
  std::uint64_t dropped_lines_ = 0;
};

/// An output stream that writes to a BoundedBuffer.
class BoundedOutput : public std::ostream {
 public:
  BoundedOutput(int descriptor, std::size_t max_bytes)
      : std::ostream(nullptr), buffer_(descriptor, max_bytes) {
    rdbuf(&buffer_);
  }

  void Flush() { buffer_.Flush(); }
  std::uint64_t dropped_lines() const { return buffer_.dropped_lines(); }

 private:
  BoundedBuffer buffer_;
};

}  // namespace mangonotch::logging
