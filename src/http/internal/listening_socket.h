// The listening socket that cxxtools keeps to itself, found by its port, so that a stop can refuse
// new connections.
#pragma once

#include <cstdint>

namespace mangonotch::http::internal {

class ListeningSocket {
 public:
  /// Looks through the open files of this process; fd is -1 when no socket listens on `port`.
  static ListeningSocket Find(std::uint16_t port);

  /// Lets no new connection begin, while connections that were already established can still be
  /// accepted: a caller that has connected and written its request must get an answer. Callers see
  /// their connect refused once the socket is closed.
  void RefuseNew() const;
  /// True while an established connection waits to be accepted.
  bool HasPending() const;

  explicit operator bool() const { return fd_ >= 0; }

 private:
  explicit ListeningSocket(int fd) : fd_(fd) {}

  int fd_;  // Owned by cxxtools.
};

}  // namespace mangonotch::http::internal
