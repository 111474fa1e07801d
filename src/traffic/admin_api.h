// What operators reach over HTTP on the admin port: status and the explanation of decisions.
#pragma once

#include <functional>
#include <string>

#include "control/control_counters.h"
#include "control/snapshot_cell.h"
#include "http/server.h"
#include "traffic/caller_api.h"
#include "traffic/counters.h"
#include "traffic/gate_set.h"
#include "traffic/ticket_desk.h"

namespace mangonotch::traffic {

class AdminApi {
 public:
  AdminApi(CallerApiSettings settings, const control::SnapshotCell& snapshots, GateSet& gates,
           const TicketDesk& tickets, const Counters& counters,
           const control::ControlCounters& control, std::function<void()> on_drain);

  http::Response Handle(const http::Request& request);

 private:
  http::Response Status() const;
  http::Response Explain(const http::Request& request);
  http::Response TableText() const;

  CallerApiSettings settings_;
  const control::SnapshotCell& snapshots_;
  GateSet& gates_;
  const TicketDesk& tickets_;
  const Counters& counters_;
  const control::ControlCounters& control_;
  std::function<void()> on_drain_;
};

}  // namespace mangonotch::traffic
