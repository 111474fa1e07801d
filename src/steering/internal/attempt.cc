// Names of the reasons, for logs and metrics.
#include "steering/attempt.h"

namespace mangonotch::steering {

std::string_view NameOf(ConclusionReason reason) {
  switch (reason) {
    case ConclusionReason::kNoConfiguration:
      return "no_configuration";
    case ConclusionReason::kNoRoute:
      return "no_route";
    case ConclusionReason::kNoTarget:
      return "no_target";
    case ConclusionReason::kNoRoom:
      return "no_room";
    case ConclusionReason::kTargetsRefused:
      return "targets_refused";
    case ConclusionReason::kNotSent:
      return "not_sent";
    case ConclusionReason::kTimedOutWaiting:
      return "timed_out_waiting";
    case ConclusionReason::kTimedOutRunning:
      return "timed_out_running";
    case ConclusionReason::kAnswerLost:
      break;
  }
  return "answer_lost";
}

}  // namespace mangonotch::steering
