// History of host states, which lets the host list show them with a lag. It reads no clock.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/instant.h"

namespace mangonotch::standins {

class HostHistory {
 public:
  using States = std::map<std::string, std::string>;  // Host name to "live" or "leaving".

  /// Changes the state of a host; "gone" removes it.
  void Set(const std::string& host, const std::string& state, base::Instant now);
  /// The states as they were at `time`.
  const States& At(base::Instant time) const;

 private:
  struct Version {
    base::Instant since;
    States states;
  };
  std::deque<Version> versions_ = {Version{}};  // In order of time; the first is empty.
};

}  // namespace mangonotch::standins
