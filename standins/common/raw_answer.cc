// Answers that a correct server never gives.
#include "standins/common/raw_answer.h"

#include <sys/socket.h>

namespace mangonotch::standins {

void AnswerRaw(const http::Request& request, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(request.caller_socket(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      break;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  DropCaller(request);
}

void DropCaller(const http::Request& request) { shutdown(request.caller_socket(), SHUT_RDWR); }

}  // namespace mangonotch::standins
