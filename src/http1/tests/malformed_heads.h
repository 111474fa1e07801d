// Responses in whose heads or trailers the name of a field is none.
#pragma once

#include <string>
#include <vector>

namespace mangonotch::http1 {

/// Names with a blank or a control byte before, within or after an otherwise good one.
inline std::vector<std::string> MalformedNames() {
  std::vector<std::string> names;
  for (const std::string byte : {" ", "\t", "\x01", "\x0b", "\x1f", "\x7f", "\r", "\n"}) {
    for (const std::string name : {"X-Odd", "Content-Length", "Transfer-Encoding"}) {
      names.push_back(byte + name);
      names.push_back(name + byte);
      names.push_back(name.substr(0, 3) + byte + name.substr(3));
    }
  }
  names.push_back(std::string("X\0Odd", 5));
  return names;
}

/// Responses that are whole but for `line`, each with it in another place.
inline std::vector<std::string> ResponsesWith(const std::string& line) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
  const std::string body = "Content-Length: 2\r\n\r\nok";
  const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  return {ok + line + body,
          ok + "A: b\r\n" + line + body,
          ok + "Content-Length: 2\r\n" + line + "\r\nok",
          "HTTP/1.1 204 No Content\r\n" + line + "\r\n",
          interim + line + "\r\n" + ok + body,
          ok + chunks + line + "\r\n"};
}

}  // namespace mangonotch::http1
