// Raw and missing responses that a correct server never sends, written directly to the caller's
// socket.
#pragma once

#include <string_view>

#include "http/server.h"

namespace mangonotch::standins {

/// Sends `bytes` unchanged and shuts down the connection. The response that the handler returns
/// afterwards is not delivered.
void SendRawResponse(const http::Request& request, std::string_view bytes);

/// Shuts down the connection without a response.
void CloseCallerConnection(const http::Request& request);

}  // namespace mangonotch::standins
