// The answers of a ticket::Register, and which of them prove that a request was not run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace mangonotch::ticket {

/// Identifies the single run of a ticket at the register that issued it.
struct RunHandle {
  std::uint64_t serial = 0;

  bool operator==(const RunHandle&) const = default;
};

/// The bytes passed to Finish; shared so that they can be used without the register's lock.
using Answer = std::shared_ptr<const std::vector<std::byte>>;

enum class BeginVerdict : std::uint8_t {
  /// The receiver of this verdict runs the request; given at most once per ticket.
  kRun,
  /// Another copy of the request is running; wait for it and call Begin again.
  kJoin,
  /// The answer of the run is attached.
  kReplay,
  /// The run was answered, but the answer was too large or has been evicted.
  kAnsweredNotKept,
  /// The request was written, but no complete answer was received.
  kOutcomeUnknown,
  /// The ticket never ran and never will.
  kVoid,
  /// The ticket expired unused: it never ran and never will.
  kExpired,
  /// The ticket belongs to another request, which may have run.
  kMismatch,
  /// The tag is wrong: the ticket was altered or guessed.
  kNotIssued,
  /// The ticket was issued, but its entry has been removed: it will not run any more, but may have
  /// run.
  kForgotten,
  /// Issued by the host that the ticket names: forward the request to it.
  kOtherHost,
  /// Issued by an earlier incarnation of this host, whose register is gone.
  kOtherIncarnation,
};

enum class DispatchVerdict : std::uint8_t {
  /// Write the request now.
  kWrite,
  /// The caller has voided the ticket since the run began: write nothing, answer `not-run`.
  kVoided,
  /// The deadline of the request or of the grant has passed: write nothing, call FinishNotRun.
  kDeadlinePassed,
  /// The entry has been removed, or the run was already dispatched or finished: write nothing.
  kNoRun,
};

enum class VoidVerdict : std::uint8_t {
  /// The ticket never ran and never will.
  kVoided,
  /// The request was written to a target: a repeat with the ticket returns the outcome.
  kDispatched,
  /// Not issued here, or its entry has been removed.
  kUnknown,
  /// Issued by the host that the ticket names: forward the call to it.
  kOtherHost,
};

enum class RunOutcome : std::uint8_t { kAnswered, kUnknown };

/// Whether the caller may be told `not-run`. An altered or mismatched ticket proves nothing: the
/// caller's request may have run under the ticket as it was issued.
constexpr bool ProvesNotRun(BeginVerdict verdict) {
  return verdict == BeginVerdict::kVoid || verdict == BeginVerdict::kExpired;
}

struct BeginResult {
  BeginVerdict verdict = BeginVerdict::kNotIssued;
  /// Set with kRun and kJoin.
  RunHandle run;
  /// Set with kReplay.
  Answer answer;
};

}  // namespace mangonotch::ticket
