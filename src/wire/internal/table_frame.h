// The frames of a table pull: a request {byte order, magic, version} and an answer {byte order,
// magic, version, revision, length} that the text follows.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "base/ids.h"

namespace mangonotch::wire::internal {

inline constexpr std::size_t kPullRequestBytes = 1 + 4 + 2;
inline constexpr std::size_t kPullHeadBytes = 1 + 4 + 2 + 8 + 4;

using PullRequest = std::array<std::byte, kPullRequestBytes>;
using PullHeadFrame = std::array<std::byte, kPullHeadBytes>;

struct PullHead {
  base::Revision revision = 0;
  /// Bytes of text that follow.
  std::uint32_t length = 0;
};

PullRequest EncodePullRequest();
PullHeadFrame EncodePullHead(const PullHead& head);

/// True for exactly the bytes of EncodePullRequest.
bool IsPullRequest(std::span<const std::byte, kPullRequestBytes> bytes);

/// Throws DecodeError, also for a length over kMaxTableBytes. `peer` sent the bytes.
PullHead DecodePullHead(std::span<const std::byte, kPullHeadBytes> bytes, const std::string& peer);

}  // namespace mangonotch::wire::internal
