// Names in logs.
#include "discovery/report_decision.h"

namespace mangonotch::discovery {

std::string_view NameOf(ReportOrigin origin) {
  switch (origin) {
    case ReportOrigin::kWatch:
      return "watch";
    case ReportOrigin::kListing:
      return "listing";
    case ReportOrigin::kHost:
      return "host";
    case ReportOrigin::kMemory:
      break;
  }
  return "memory";
}

std::string_view NameOf(ReportVerdict verdict) {
  switch (verdict) {
    case ReportVerdict::kInForce:
      return "in_force";
    case ReportVerdict::kOutdated:
      return "outdated";
    case ReportVerdict::kSetAside:
      return "set_aside";
    case ReportVerdict::kRemoved:
      break;
  }
  return "removed";
}

}  // namespace mangonotch::discovery
