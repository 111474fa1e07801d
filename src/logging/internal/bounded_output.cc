// Writing without blocking.
#include "logging/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace mangonotch::logging {
namespace {

/// A pipe that polls as writable takes this many bytes without blocking.
constexpr std::size_t kChunkBytes = PIPE_BUF;
/// Lines are written together once this many bytes wait; Flush writes fewer.
constexpr std::size_t kBatchBytes = 2 * kChunkBytes;

bool IsWritable(int descriptor) {
  pollfd entry{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedBuffer::int_type BoundedBuffer::overflow(int_type c) {
  if (c == traits_type::eof()) return 0;
  const char text = static_cast<char>(c);
  return xsputn(&text, 1) == 1 ? c : traits_type::eof();
}

std::streamsize BoundedBuffer::xsputn(const char* text, std::streamsize n) {
  const std::lock_guard lock(mutex_);
  line_.append(text, static_cast<std::size_t>(n));
  return n;
}

int BoundedBuffer::sync() {
  const std::lock_guard lock(mutex_);
  if (line_.empty()) return 0;
  if (waiting_.size() + line_.size() > most_bytes_) {
    ++dropped_lines_;
  } else {
    waiting_ += line_;
  }
  line_.clear();
  if (waiting_.size() >= kBatchBytes) WriteWaiting();
  return 0;
}

void BoundedBuffer::Flush() {
  const std::lock_guard lock(mutex_);
  WriteWaiting();
}

void BoundedBuffer::WriteWaiting() {
  std::size_t written = 0;
  while (written < waiting_.size() && IsWritable(descriptor_)) {
    const std::size_t n = std::min(kChunkBytes, waiting_.size() - written);
    const ssize_t result = write(descriptor_, waiting_.data() + written, n);
    // A descriptor that takes nothing keeps its lines waiting until they are dropped for room.
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  waiting_.erase(0, written);
}

std::uint64_t BoundedBuffer::dropped_lines() const {
  const std::lock_guard lock(mutex_);
  return dropped_lines_;
}

}  // namespace mangonotch::logging
