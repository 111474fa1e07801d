// Why a call of the client gave no answer, and whether any byte of the request had been written.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/error.h"

namespace mangonotch::http {

enum class Failure {
  kConnectRefused,  // Refused, unreachable or no local port.
  kConnectTimeout,
  kVetoed,  // before_write returned false.
  kWrite,
  kTimeout,           // The deadline passed while writing or reading.
  kCutOff,            // The connection ended before the answer was whole.
  kStaleConnection,   // A kept-alive connection ended without a byte of an answer: the target may
                      // have read it.
  kTooLarge,          // Header, trailers, a chunk extension or the body over the limit.
  kUnprovableLength,  // The answer ends with the connection, so a cut one looks whole.
  kMalformed,
  kCancelled,
};
inline constexpr std::size_t kFailures = 11;

/// Label for counters, such as "connect-refused".
std::string_view Name(Failure failure);

class ClientError : public base::Error {
 public:
  ClientError(Failure failure, bool bytes_written, const std::string& peer,
              const std::string& detail)
      : Error("http call", peer,
              std::string(Name(failure)) + (detail.empty() ? "" : ": ") + detail),
        failure_(failure),
        bytes_written_(bytes_written) {}

  Failure failure() const { return failure_; }
  /// False only when no byte of the request left this process, so that it certainly did not run.
  bool bytes_written() const { return bytes_written_; }

 private:
  Failure failure_;
  bool bytes_written_;
};

}  // namespace mangonotch::http
