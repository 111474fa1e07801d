// Answers that a correct server never gives: written straight to the caller's socket.
#pragma once

#include <string_view>

#include "http/server.h"

namespace mangonotch::standins {

/// Writes `bytes` as they are and ends the connection. What the handler returns afterwards reaches
/// nobody.
void AnswerRaw(const http::Request& request, std::string_view bytes);

/// Ends the connection without an answer.
void DropCaller(const http::Request& request);

}  // namespace mangonotch::standins
