// Labels of client failures.
#include "http/client_error.h"

namespace mangonotch::http {

std::string_view Name(Failure failure) {
  switch (failure) {
    case Failure::kConnectRefused:
      return "connect-refused";
    case Failure::kConnectTimeout:
      return "connect-timeout";
    case Failure::kVetoed:
      return "vetoed";
    case Failure::kWrite:
      return "write";
    case Failure::kTimeout:
      return "timeout";
    case Failure::kCutOff:
      return "cut-off";
    case Failure::kStaleConnection:
      return "stale-connection";
    case Failure::kTooLarge:
      return "too-large";
    case Failure::kUnprovableLength:
      return "unprovable-length";
    case Failure::kMalformed:
      return "malformed";
    case Failure::kCancelled:
      return "cancelled";
  }
  return "malformed";
}

}  // namespace mangonotch::http
