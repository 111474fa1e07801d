// Implementation of logging::BoundedBuffer.
#include "logging/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace mangonotch::logging {
namespace {

/// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr std::size_t kChunkBytes = PIPE_BUF;
/// Lines are written in batches once this many bytes are pending; Flush writes fewer.
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
  if (pending_.size() + line_.size() > max_bytes_) {
    ++dropped_lines_;
  } else {
    pending_ += line_;
  }
  line_.clear();
  if (pending_.size() >= kBatchBytes) WritePending();
  return 0;
}

void BoundedBuffer::Flush() {
  const std::lock_guard lock(mutex_);
  WritePending();
}

void BoundedBuffer::WritePending() {
  std::size_t written = 0;
  while (written < pending_.size() && IsWritable(descriptor_)) {
    const std::size_t n = std::min(kChunkBytes, pending_.size() - written);
    const ssize_t result = write(descriptor_, pending_.data() + written, n);
    // After a failed write the lines stay pending; once the buffer is full, sync drops new lines.
    if (result <= 0) break;
    written += static_cast<std::size_t>(result);
  }
  pending_.erase(0, written);
}

std::uint64_t BoundedBuffer::dropped_lines() const {
  const std::lock_guard lock(mutex_);
  return dropped_lines_;
}

}  // namespace mangonotch::logging
