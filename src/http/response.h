// An HTTP answer: what a handler of the server returns and what the client hands back.
#pragma once

#include <string>

#include "http/header.h"

namespace mangonotch::http {

struct Response {
  unsigned status = 200;
  Headers headers;
  std::string body;
};

/// Reason phrase of a status code, "Status" for codes that the project does not use.
std::string_view ReasonPhrase(unsigned status);

}  // namespace mangonotch::http
