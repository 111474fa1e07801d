// Cancels calls of the client from another thread.
#include "http/cancel_source.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace mangonotch::http {

CancelSource::CancelSource() {
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends_) != 0) {
    throw std::system_error(errno, std::generic_category(), "socketpair");
  }
}

CancelSource::~CancelSource() {
  close(ends_[0]);
  close(ends_[1]);
}

void CancelSource::Cancel() { shutdown(ends_[1], SHUT_RDWR); }

}  // namespace mangonotch::http
