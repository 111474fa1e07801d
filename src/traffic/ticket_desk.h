// The ticket register behind a lock, and the threads that wait for the run of another copy of their
// request.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/instant.h"
#include "ticket/register.h"
#include "traffic/served.h"

namespace mangonotch::traffic {

class TicketDesk {
 public:
  TicketDesk(base::HostId host, base::Incarnation incarnation, const ticket::Limits& limits);

  /// Text of a new ticket; empty when the register is full or the host is leaving.
  std::optional<std::string> Issue();

  /// What the front end does with a request that names a ticket.
  struct Entry {
    ticket::BeginVerdict verdict = ticket::BeginVerdict::kNotIssued;
    ticket::RunHandle run;
    ticket::Answer answer;
  };
  /// Waits, at most until `deadline`, while another copy of the request is running.
  Entry Begin(const ticket::Ticket& ticket, const ticket::RequestView& request,
              base::Instant deadline);
  bool MarkDispatched(ticket::RunHandle run, base::Instant deadline);
  void Finish(ticket::RunHandle run, const Served& served);
  /// Ends a run that was never written. False when the caller must not be told `not-run`.
  bool FinishNotRun(ticket::RunHandle run);
  ticket::VoidVerdict Void(const ticket::Ticket& ticket);

  /// When the ticket issued last expires.
  base::Instant last_expiry() const;
  void StopIssuing();
  void Expire();
  std::size_t entries() const;
  /// Runs that have begun and not ended.
  std::size_t running() const;

 private:
  const ticket::Secret secret_;
  mutable std::mutex mutex_;
  std::condition_variable run_ended_;
  // All below are guarded by mutex_.
  ticket::Register register_;
  bool is_issuing_ = true;
};

/// Bytes of an answer as the register keeps them, and back.
std::vector<std::byte> PackAnswer(const http::Response& response);
http::Response UnpackAnswer(std::span<const std::byte> bytes);

}  // namespace mangonotch::traffic
