// An output stream for log lines that never blocks its writer: lines wait in a bounded buffer and
// are written when the descriptor takes them; what does not fit is dropped and counted.
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
  /// Writes to `descriptor`, which stays open. `most_bytes` bounds what waits.
  BoundedBuffer(int descriptor, std::size_t most_bytes)
      : descriptor_(descriptor), most_bytes_(most_bytes) {}

  /// Writes what the descriptor takes now.
  void Flush();
  std::uint64_t dropped_lines() const;

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize n) override;
  /// Ends a line: Boost.Log flushes after each record.
  int sync() override;

 private:
  void WriteWaiting();

  mutable std::mutex mutex_;
  const int descriptor_;
  const std::size_t most_bytes_;
  /// The line that is being put together.
  std::string line_;
  /// Whole lines that wait, the first of them partly written.
  std::string waiting_;
  std::uint64_t dropped_lines_ = 0;
};

/// A stream on a BoundedBuffer.
class BoundedOutput : public std::ostream {
 public:
  BoundedOutput(int descriptor, std::size_t most_bytes)
      : std::ostream(nullptr), buffer_(descriptor, most_bytes) {
    rdbuf(&buffer_);
  }

  void Flush() { buffer_.Flush(); }
  std::uint64_t dropped_lines() const { return buffer_.dropped_lines(); }

 private:
  BoundedBuffer buffer_;
};

}  // namespace mangonotch::logging
