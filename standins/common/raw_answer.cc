// Raw and missing responses that a correct server never sends.
#include "standins/common/raw_answer.h"

#include <sys/socket.h>

namespace mangonotch::standins {

void SendRawResponse(const http::Request& request, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(request.caller_socket(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      break;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  CloseCallerConnection(request);
}

void CloseCallerConnection(const http::Request& request) {
  shutdown(request.caller_socket(), SHUT_RDWR);
}

}  // namespace mangonotch::standins
