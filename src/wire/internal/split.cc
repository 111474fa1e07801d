// Fills each part up to the size of a datagram, in the order of the lines.
#include "wire/split.h"

#include <ostream>

#include "wire/codec.h"
#include "wire/internal/archive.h"
#include "wire/internal/layout.h"

namespace mangonotch::wire {
namespace {

template <class Line>
std::size_t LineSize(const Line& line) {
  internal::CountBuffer buf;
  std::ostream stream(&buf);
  internal::OutputArchive ar(stream, internal::OutputArchive::Options::LittleEndian());
  const std::size_t head = buf.count();
  ar(line);
  return buf.count() - head;
}

template <class M, class... Line>
std::vector<M> Split(const M& message, std::vector<Line> M::*... lists) {
  M head = message;
  ((head.*lists).clear(), ...);
  const std::size_t head_size = EncodedSize(head);
  std::vector<M> parts{head};
  std::size_t size = head_size;
  const auto add = [&](auto list) {
    for (const auto& line : message.*list) {
      const std::size_t n = LineSize(line);
      if (size + n > kMaxDatagramBytes) {
        parts.push_back(head);
        size = head_size;
      }
      (parts.back().*list).push_back(line);
      size += n;
    }
  };
  (add(lists), ...);
  return parts;
}

}  // namespace

std::vector<shares::Heartbeat> SplitHeartbeat(const shares::Heartbeat& message) {
  using M = shares::Heartbeat;
  return Split(message, &M::holdings, &M::demand, &M::marks);
}

std::vector<shares::HeartbeatReply> SplitReply(const shares::HeartbeatReply& message) {
  using M = shares::HeartbeatReply;
  return Split(message, &M::grants, &M::hosts, &M::marks);
}

std::vector<membership::RegionSummary> SplitSummary(const membership::RegionSummary& message) {
  using M = membership::RegionSummary;
  return Split(message, &M::hosts, &M::marks);
}

std::vector<membership::Announcement> SplitAnnouncement(const membership::Announcement& message) {
  return Split(message, &membership::Announcement::marks);
}

}  // namespace mangonotch::wire
