// Cancels calls of the client from another thread, without polling.
#pragma once

namespace mangonotch::http {

class CancelSource {
 public:
  CancelSource();  // Throws std::system_error when no socket can be had.
  CancelSource(const CancelSource&) = delete;
  CancelSource& operator=(const CancelSource&) = delete;
  ~CancelSource();

  /// Ends all calls that were given socket(), now and later.
  void Cancel();
  /// For ExecuteOptions::cancel_socket.
  int socket() const { return ends_[0]; }

 private:
  int ends_[2];  // A pair of connected sockets; shutting down the second one wakes who polls the
                 // first.
};

}  // namespace mangonotch::http
