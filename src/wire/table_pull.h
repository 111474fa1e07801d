// Asks a peer for its table over TCP.
#pragma once

#include "base/instant.h"
#include "wire/socket_address.h"
#include "wire/table_text.h"

namespace mangonotch::wire {

/// Blocks until the whole table is there, at most until `deadline` (of CLOCK_BOOTTIME). Throws
/// base::Error when the peer cannot be reached, is late or ends early, and DecodeError (of
/// wire/decode_error.h) when its answer is malformed or over kMaxTableBytes.
TableText PullTable(const SocketAddress& peer, base::Instant deadline);

}  // namespace mangonotch::wire
