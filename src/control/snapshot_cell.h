// The place where the control thread publishes a snapshot and traffic threads take it.
#pragma once

#include <atomic>

#include "control/snapshot.h"

namespace mangonotch::control {

class SnapshotCell {
 public:
  /// Never null.
  SnapshotPtr Load() const { return cell_.load(std::memory_order_acquire); }
  void Store(SnapshotPtr snapshot) { cell_.store(std::move(snapshot), std::memory_order_release); }

 private:
  std::atomic<SnapshotPtr> cell_{std::make_shared<const Snapshot>()};
};

}  // namespace mangonotch::control
