// What an end-to-end test sees of a deployment: counters of the targets, status pages of the hosts,
// and faults that it sets.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "tests/support/deployment.h"

namespace mangonotch::support {

/// Polls until `is_met` or until `seconds` have passed; true when it was met.
bool Eventually(int seconds, const std::function<bool()>& is_met);

void Pause(int milliseconds);

/// Nothing when the address does not answer.
std::optional<http::Response> TryGet(Deployment& deployment, const std::string& address,
                                     const std::string& target);

/// Sets faults of a stand-in, such as "down=1".
void SetFault(Deployment& deployment, const std::string& address, const std::string& faults);

/// A number of a target's GET /counters.
std::int64_t TargetCount(Deployment& deployment, const TargetProcess& target,
                         const std::string& name);
/// Its sum over all targets.
std::int64_t TargetSum(Deployment& deployment, const std::string& name);
/// How often all targets together started work on each path.
std::map<std::string, std::int64_t> RunsByPath(Deployment& deployment);

/// Revision in force on a host, 0 for none or when it does not answer.
std::uint64_t RevisionOf(Deployment& deployment, std::size_t host);
/// True when the running hosts all have this revision in force.
bool HaveRevision(Deployment& deployment, std::uint64_t revision);

/// The status and the explanations of the first service on a host, for messages of failed
/// assertions.
std::string Describe(Deployment& deployment, std::size_t host);

struct CoordinatorSeen {
  std::string host;
  std::uint64_t epoch = 0;
};
/// The coordinator of a region as a host's status page tells.
CoordinatorSeen CoordinatorAt(Deployment& deployment, std::size_t host, const std::string& region);
/// Position of the region's coordinator as any running host names it. Throws when none does.
std::size_t CoordinatorOf(Deployment& deployment, const std::string& region);

}  // namespace mangonotch::support
