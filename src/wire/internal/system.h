// The operating system's calls that sockets share.
#pragma once

#include <poll.h>

#include <span>
#include <string>

#include "base/duration.h"
#include "base/instant.h"
#include "wire/file_descriptor.h"
#include "wire/socket_address.h"

namespace mangonotch::wire::internal {

/// Throws base::Error with the text of errno.
[[noreturn]] void ThrowSystemError(const std::string& step, const std::string& peer);

/// Monotonic time that goes on while the machine sleeps.
base::Instant Now();

/// Sleeps until a descriptor is ready or `deadline` has passed; Never() sleeps without limit.
/// Returns the number of ready descriptors; 0 after a signal to the thread too.
int PollUntil(std::span<pollfd> fds, base::Instant deadline);

/// A socket that never blocks. `type` is SOCK_STREAM or SOCK_DGRAM.
FileDescriptor OpenSocket(const SocketAddress& address, int type, const std::string& step);

/// Binds `fd` to `address`.
void Bind(const FileDescriptor& fd, const SocketAddress& address, const std::string& step);

/// The address that `fd` is bound to.
SocketAddress LocalAddress(const FileDescriptor& fd);

}  // namespace mangonotch::wire::internal
