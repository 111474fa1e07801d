// Names of the reasons, for logs and metrics.
#include "steering/attempt.h"

namespace mangonotch::steering {

std::string_view NameOf(LocalReplyReason reason) {
  switch (reason) {
    case LocalReplyReason::kNoConfiguration:
      return "no_configuration";
    case LocalReplyReason::kNoRoute:
      return "no_route";
    case LocalReplyReason::kNoTarget:
      return "no_target";
    case LocalReplyReason::kNoRoom:
      return "no_room";
    case LocalReplyReason::kTargetsLimited:
      return "targets_limited";
    case LocalReplyReason::kTargetsRefused:
      return "targets_refused";
    case LocalReplyReason::kNotSent:
      return "not_sent";
    case LocalReplyReason::kTimedOutWaiting:
      return "timed_out_waiting";
    case LocalReplyReason::kTimedOutRunning:
      return "timed_out_running";
    case LocalReplyReason::kTargetsBackingOff:
      return "targets_backing_off";
    case LocalReplyReason::kAnswerLost:
      return "answer_lost";
    case LocalReplyReason::kUnknownKey:
      return "unknown_key";
    case LocalReplyReason::kOverQuota:
      return "over_quota";
    case LocalReplyReason::kStopping:
      break;
  }
  return "stopping";
}

}  // namespace mangonotch::steering
