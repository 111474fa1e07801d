// What callers reach over HTTP: look-up, tickets, and requests to services. The peer port serves
// the same paths for requests that another entry host forwards.
#pragma once

#include <functional>
#include <string>

#include "control/snapshot_cell.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/host_ref.h"
#include "traffic/counters.h"
#include "traffic/dispatcher.h"
#include "traffic/ticket_desk.h"

namespace mangonotch::traffic {

struct CallerApiSettings {
  membership::HostRef self;
  std::string region;
  std::string zone;
};

class CallerApi {
 public:
  CallerApi(CallerApiSettings settings, const control::SnapshotCell& snapshots,
            Dispatcher& dispatcher, TicketDesk& tickets, Counters& counters);

  /// For the port of callers; `is_forwarded` for the peer port, whose requests are never forwarded
  /// again.
  http::Response Handle(const http::Request& request, bool is_forwarded);

 private:
  http::Response Lookup(const control::Snapshot& snapshot, const http::Request& request);
  http::Response IssueTicket(const control::Snapshot& snapshot, const http::Request& request);
  http::Response VoidTicket(const control::Snapshot& snapshot, const http::Request& request,
                            bool is_forwarded);
  http::Response Serve(const control::Snapshot& snapshot, const http::Request& request,
                       bool is_forwarded);
  Served ServeTicketed(const control::SteeringTable& table, const RequestPlan& plan,
                       const http::Request& request, const ticket::Ticket& ticket);
  Served RunTicket(const control::SteeringTable& table, const RequestPlan& plan,
                   const http::Request& request, ticket::RunHandle run);
  /// Passes the request on to the host that issued its ticket, which alone may run it.
  http::Response Forward(const control::Snapshot& snapshot, const http::Request& request,
                         const base::HostId& issuer, base::Instant deadline);
  http::Response ToResponse(Served served);
  http::Response Refuse(Outcome outcome, RefusalReason reason, unsigned status);
  Fallback FallbackOf(const control::SteeringTable& table) const;

  CallerApiSettings settings_;
  const control::SnapshotCell& snapshots_;
  Dispatcher& dispatcher_;
  TicketDesk& tickets_;
  Counters& counters_;
  http::Client peers_;
};

}  // namespace mangonotch::traffic
