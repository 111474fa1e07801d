// The listening socket of cxxtools.
#include "http/internal/listening_socket.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>

#include "http/internal/open_files.h"

namespace mangonotch::http::internal {
namespace {

bool ListensOn(int fd, std::uint16_t port) {
  int listening = 0;
  socklen_t n = sizeof listening;
  sockaddr_in addr{};
  socklen_t size = sizeof addr;
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &n) == 0 && listening != 0 &&
         getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &size) == 0 &&
         ntohs(addr.sin_port) == port;
}

}  // namespace

ListeningSocket ListeningSocket::Find(std::uint16_t port) {
  for (const int fd : OpenFiles()) {
    if (ListensOn(fd, port)) {
      return ListeningSocket(fd);
    }
  }
  return ListeningSocket(-1);
}

void ListeningSocket::RefuseNew() const {
  // Drops packets with SYN and without ACK. Others must pass: cxxtools sets TCP_DEFER_ACCEPT, so
  // the first bytes of a request still come to the listening socket. Accepted sockets inherit the
  // filter; a SYN means nothing to them.
  constexpr std::uint32_t kFlagsOffset = 13;
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kAck = 0x10;
  std::array<sock_filter, 5> filter = {
      sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      sock_filter BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
      sock_filter BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
      sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
      sock_filter BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
  };
  const sock_fprog program{filter.size(), filter.data()};
  setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

bool ListeningSocket::HasPending() const {
  pollfd fd{fd_, POLLIN, 0};
  return poll(&fd, 1, 0) > 0 && (fd.revents & POLLIN) != 0;
}

}  // namespace mangonotch::http::internal
