// Holds the current snapshot: the control thread stores it, traffic threads load it.
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
