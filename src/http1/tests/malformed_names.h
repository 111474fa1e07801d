// Names of header fields that are none.
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

}  // namespace mangonotch::http1
