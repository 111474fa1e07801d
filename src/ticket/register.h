// The at-most-once register of one incarnation of one entry host (design, section 5). It is not
// thread-safe: the front end guards it with a mutex and wakes the waiters that got kJoin.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>

#include "base/duration.h"
#include "base/ids.h"
#include "base/instant.h"
#include "ticket/fingerprint.h"
#include "ticket/keyed_hash.h"
#include "ticket/ticket.h"
#include "ticket/verdicts.h"

namespace mangonotch::ticket {

struct Limits {
  std::size_t max_entries = 100'000;
  /// Maximum size of an answer that is kept for repeats.
  std::size_t max_answer_bytes = std::size_t{64} * 1024;
  /// Maximum total size of kept answers; the oldest one is evicted first.
  std::size_t max_kept_bytes = std::size_t{32} * 1024 * 1024;
  /// Time from the issue of a ticket to its expiry, if no request has used it.
  base::Duration lifetime = base::Duration::Seconds(300);
  /// Maximum deadline of the long class; no run lasts longer.
  base::Duration longest_deadline = base::Duration::Seconds(60);
};

class Register {
 public:
  /// Throws base::Error when IsHostName(host) is false.
  Register(base::HostId host, base::Incarnation incarnation, const Secret& secret,
           const Limits& limits);

  /// Returns a new ticket, or nullopt when the register is full. `unix_ms` is the wall-clock time
  /// at `now`.
  std::optional<Ticket> Issue(base::Instant now, std::uint64_t unix_ms);

  /// Called when a request with a ticket arrives, and again by each waiter that got kJoin when the
  /// run has ended.
  BeginResult Begin(const Ticket& ticket, Fingerprint request, base::Instant now);

  /// Called on the connection to the target, right before the first byte of the request is written.
  /// Only kWrite allows the write. `deadline` is the earlier of the deadlines of the request and
  /// the grant.
  [[nodiscard]] DispatchVerdict MarkDispatched(RunHandle run, base::Instant deadline,
                                               base::Instant now);

  /// Ends a dispatched run. `answer` is copied if it fits the limits. Returns false
  /// and changes nothing when no such run is in progress.
  bool Finish(RunHandle run, RunOutcome outcome, std::span<const std::byte> answer);

  /// Ends a run that has written nothing to a target. Voids the ticket, since the caller is told
  /// `not-run` and another copy of the request may still arrive. Returns false when the run was
  /// dispatched, which ends it as unknown, or when its entry has been removed: the caller must then
  /// not be told `not-run`.
  [[nodiscard]] bool FinishNotRun(RunHandle run);

  VoidVerdict VoidIfNotDispatched(const Ticket& ticket);

  /// Removes the entries whose `removal_time` has passed.
  void Expire(base::Instant now);

  /// Applies the deadline of a new table revision; existing entries keep their removal time.
  void set_longest_deadline(base::Duration deadline) { limits_.longest_deadline = deadline; }

  std::size_t entries() const { return entries_.size(); }
  std::size_t kept_bytes() const { return kept_bytes_; }
  /// Runs that have begun and not ended.
  std::size_t running() const { return running_; }
  /// Expiry of the last ticket issued; a leaving host serves until then.
  base::Instant last_expiry() const { return last_expiry_; }

 private:
  enum class State : std::uint8_t { kFresh, kRunning, kDispatched, kAnswered, kUnknown, kVoid };

  struct Entry {
    State state = State::kFresh;
    /// Fingerprint of the request that started the run; meaningless while kFresh.
    Fingerprint request;
    base::Instant expiry;
    /// When the entry is removed: no run that began before `expiry` lasts longer.
    base::Instant removal_time;
    /// Set while the state is kAnswered and the answer is kept.
    Answer answer;
  };

  Entry* Find(std::uint64_t serial);
  bool IsOwn(const Ticket& ticket) const;
  BeginResult BeginEntry(Entry& entry, std::uint64_t serial, Fingerprint request,
                         base::Instant now);
  void KeepAnswer(Entry& entry, std::uint64_t serial, std::span<const std::byte> answer);
  void EvictOldestAnswer();

  base::HostId host_;
  base::Incarnation incarnation_;
  Secret secret_;
  Limits limits_;
  /// Entries with consecutive serials from `first_serial_`. The clock is monotonic, so they expire
  /// in this order.
  std::deque<Entry> entries_;
  std::uint64_t first_serial_ = 1;
  /// Serials in the order in which their answers were kept; may include removed entries.
  std::deque<std::uint64_t> kept_serials_;
  std::size_t kept_bytes_ = 0;
  std::size_t running_ = 0;
  base::Instant last_expiry_;
};

}  // namespace mangonotch::ticket
