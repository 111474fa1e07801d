// The actions that a controller requests from the control thread after an event.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "control/snapshot.h"
#include "shares/coordinator_lease.h"
#include "shares/holdings.h"
#include "wire/message.h"

namespace mangonotch::control {

struct Outgoing {
  /// Peer address, ip:port.
  std::string to;
  wire::Message message;
};

struct PullTable {
  std::string peer_address;
  base::Revision revision = 0;
};

struct LeavingChange {
  base::TargetKey target;
  bool leaving = true;
};

struct Effects {
  std::vector<Outgoing> messages;
  /// At most one of the two is set.
  std::optional<shares::ReadRecord> read_record;
  std::optional<shares::WriteRecord> write_record;
  std::optional<PullTable> pull_table;
  /// A new table is in force: configure the gates with it.
  SteeringTablePtr table;
  std::vector<LeavingChange> leaving;
  /// Current grants of the regions whose grants have changed.
  std::vector<shares::Grant> grants;
  /// Null when nothing visible to traffic threads has changed.
  SnapshotPtr snapshot;
};

}  // namespace mangonotch::control
