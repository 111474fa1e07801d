// Reads one whole answer with Boost.Beast's parser.
#pragma once

#include <memory>
#include <string_view>

#include "http/client.h"
#include "http/response.h"

namespace mangonotch::http::internal {

/// Takes the bytes of a connection until the answer is whole. It knows no socket.
class AnswerReader {
 public:
  AnswerReader(std::string_view method, const ExecuteOptions& options, const std::string& peer);
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;
  ~AnswerReader();

  /// Takes more bytes; true when the answer is whole. Throws ClientError.
  bool Put(std::string_view bytes);
  /// The connection has ended before the answer was whole. Throws ClientError.
  [[noreturn]] void End(bool kept_connection);

  /// True when the connection can carry another request after this answer.
  bool reusable() const;
  Response Take();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangonotch::http::internal
