// The part of the control state that traffic threads read: immutable, replaced as a whole by the
// control thread.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/steering_table.h"
#include "lookup/directory.h"
#include "membership/messages.h"

namespace mangonotch::control {

/// A region's coordinator as this host knows it, for status pages.
struct CoordinatorView {
  std::string region;
  base::HostId host;
  base::Epoch epoch = 0;
};

struct Snapshot {
  /// Null while no table is in force; the host does not steer requests then.
  SteeringTablePtr table;
  /// Live entry hosts whose region and zone the table knows; positions match `directory`.
  std::vector<membership::HostInfo> hosts;
  lookup::Directory directory;
  std::vector<CoordinatorView> coordinators;
  std::vector<base::TargetKey> leaving_targets;
  /// This host is stopping: look-ups omit it, and it issues no tickets.
  bool leaving = false;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

}  // namespace mangonotch::control
