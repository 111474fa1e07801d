// Frames in cereal's portable binary form, like the messages.
#include "wire/internal/table_frame.h"

#include <algorithm>
#include <istream>
#include <ostream>
#include <vector>

#include "wire/internal/archive.h"

namespace mangonotch::wire::internal {
namespace {

/// Differs from the magic of datagrams, so that one cannot pass for the other.
constexpr std::uint32_t kPullMagic = kMagic ^ 0x80808080;

template <class Frame, class... Field>
Frame EncodeFrame(const Field&... fields) {
  std::vector<std::byte> out;
  VectorBuffer buf(out);
  std::ostream stream(&buf);
  OutputArchive ar(stream, OutputArchive::Options::LittleEndian());
  ar(fields...);
  Frame frame{};
  std::copy(out.begin(), out.end(), frame.begin());
  return frame;
}

}  // namespace

PullRequest EncodePullRequest() { return EncodeFrame<PullRequest>(kPullMagic, kVersion); }

PullHeadFrame EncodePullHead(const PullHead& head) {
  return EncodeFrame<PullHeadFrame>(kPullMagic, kVersion, head.revision, head.length);
}

bool IsPullRequest(std::span<const std::byte, kPullRequestBytes> bytes) {
  const PullRequest expected = EncodePullRequest();
  return std::equal(bytes.begin(), bytes.end(), expected.begin());
}

PullHead DecodePullHead(std::span<const std::byte, kPullHeadBytes> bytes, const std::string& peer) {
  SpanBuffer buf(bytes);
  std::istream stream(&buf);
  InputArchive ar(stream);
  std::uint32_t magic = 0;
  std::uint16_t version = 0;
  PullHead head;
  ar(magic, version, head.revision, head.length);
  if (magic != kPullMagic || bytes.front() != std::byte{1}) {
    throw DecodeError(DecodeReason::kWrongMagic, "", "pull table", peer);
  }
  if (version != kVersion) {
    throw DecodeError(DecodeReason::kWrongVersion, std::to_string(version), "pull table", peer);
  }
  if (head.length > kMaxTableBytes) {
    throw DecodeError(DecodeReason::kTooLong, std::to_string(head.length), "pull table", peer);
  }
  return head;
}

}  // namespace mangonotch::wire::internal
