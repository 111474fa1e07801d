// States of an entry: fresh -> running -> dispatched -> answered or unknown; fresh or running ->
// void. Only `fresh` becomes `running`, and nothing becomes fresh again, so a ticket runs once.
#include "ticket/register.h"

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace mangonotch::ticket {

Register::Register(base::HostId host, base::Incarnation incarnation, const Secret& secret,
                   const Limits& limits)
    : host_(std::move(host)), incarnation_(incarnation), secret_(secret), limits_(limits) {
  if (!IsHostName(host_)) {
    throw base::Error("open ticket register", host_,
                      "the host name must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
}

std::optional<Ticket> Register::Issue(base::Instant now, std::uint64_t unix_ms) {
  Expire(now);
  if (entries_.size() >= limits_.max_entries) {
    return std::nullopt;
  }
  Entry entry;
  entry.expiry = now + limits_.lifetime;
  entry.removal_time = entry.expiry + limits_.longest_deadline;
  last_expiry_ = std::max(last_expiry_, entry.expiry);
  Ticket ticket;
  ticket.host = host_;
  ticket.incarnation = incarnation_;
  ticket.serial = first_serial_ + entries_.size();
  ticket.expiry_unix_ms = unix_ms + static_cast<std::uint64_t>(limits_.lifetime.milliseconds());
  ticket.tag = MakeTag(ticket, secret_);
  entries_.push_back(std::move(entry));
  return ticket;
}

Register::Entry* Register::Find(std::uint64_t serial) {
  // A serial below `first_serial_` wraps around to a large number.
  const std::uint64_t i = serial - first_serial_;
  return i < entries_.size() ? &entries_[i] : nullptr;
}

bool Register::IsOwn(const Ticket& ticket) const {
  return ticket.host == host_ && ticket.incarnation == incarnation_ &&
         ticket.tag == MakeTag(ticket, secret_);
}

BeginResult Register::Begin(const Ticket& ticket, Fingerprint request, base::Instant now) {
  Expire(now);
  BeginResult result;
  if (ticket.host != host_) {
    result.verdict = BeginVerdict::kOtherHost;
    return result;
  }
  if (ticket.incarnation != incarnation_) {
    result.verdict = BeginVerdict::kOtherIncarnation;
    return result;
  }
  if (!IsOwn(ticket)) {
    result.verdict = BeginVerdict::kNotIssued;
    return result;
  }
  Entry* entry = Find(ticket.serial);
  if (entry == nullptr) {
    result.verdict = BeginVerdict::kForgotten;
    return result;
  }
  return BeginEntry(*entry, ticket.serial, request, now);
}

BeginResult Register::BeginEntry(Entry& entry, std::uint64_t serial, Fingerprint request,
                                 base::Instant now) {
  BeginResult result;
  if (entry.state == State::kVoid) {
    result.verdict = BeginVerdict::kVoid;
    return result;
  }
  if (entry.state == State::kFresh) {
    if (now >= entry.expiry) {
      // Voids the entry, so that the verdict holds even if a later call passes an earlier time.
      entry.state = State::kVoid;
      result.verdict = BeginVerdict::kExpired;
      return result;
    }
    entry.state = State::kRunning;
    entry.request = request;
    ++running_;
    result.verdict = BeginVerdict::kRun;
    result.run = {serial};
    return result;
  }
  if (entry.request != request) {
    result.verdict = BeginVerdict::kMismatch;
    return result;
  }
  if (entry.state == State::kRunning || entry.state == State::kDispatched) {
    result.verdict = BeginVerdict::kJoin;
    result.run = {serial};
    return result;
  }
  if (entry.state == State::kUnknown) {
    result.verdict = BeginVerdict::kOutcomeUnknown;
    return result;
  }
  result.verdict = entry.answer ? BeginVerdict::kReplay : BeginVerdict::kAnsweredNotKept;
  result.answer = entry.answer;
  return result;
}

DispatchVerdict Register::MarkDispatched(RunHandle run, base::Instant deadline, base::Instant now) {
  Expire(now);
  Entry* entry = Find(run.serial);
  if (entry == nullptr) {
    return DispatchVerdict::kNoRun;
  }
  if (entry->state == State::kVoid) {
    return DispatchVerdict::kVoided;
  }
  if (entry->state != State::kRunning) {
    return DispatchVerdict::kNoRun;
  }
  if (now >= deadline) {
    return DispatchVerdict::kDeadlinePassed;
  }
  entry->state = State::kDispatched;
  return DispatchVerdict::kWrite;
}

bool Register::Finish(RunHandle run, RunOutcome outcome, std::span<const std::byte> answer) {
  Entry* entry = Find(run.serial);
  if (entry == nullptr || entry->state != State::kDispatched) {
    return false;
  }
  --running_;
  if (outcome == RunOutcome::kUnknown) {
    entry->state = State::kUnknown;
    return true;
  }
  entry->state = State::kAnswered;
  KeepAnswer(*entry, run.serial, answer);
  return true;
}

bool Register::FinishNotRun(RunHandle run) {
  Entry* entry = Find(run.serial);
  if (entry == nullptr) {
    return false;
  }
  if (entry->state == State::kRunning) {
    entry->state = State::kVoid;
    --running_;
  } else if (entry->state == State::kDispatched) {
    // The run has ended in any case, and its waiters must not wait any longer.
    entry->state = State::kUnknown;
    --running_;
  }
  return entry->state == State::kVoid;
}

VoidVerdict Register::VoidIfNotDispatched(const Ticket& ticket) {
  if (ticket.host != host_) {
    return VoidVerdict::kOtherHost;
  }
  Entry* entry = IsOwn(ticket) ? Find(ticket.serial) : nullptr;
  if (entry == nullptr) {
    return VoidVerdict::kUnknown;
  }
  if (entry->state == State::kRunning) {
    --running_;
    entry->state = State::kVoid;
  }
  if (entry->state == State::kFresh) {
    entry->state = State::kVoid;
  }
  return entry->state == State::kVoid ? VoidVerdict::kVoided : VoidVerdict::kDispatched;
}

void Register::KeepAnswer(Entry& entry, std::uint64_t serial, std::span<const std::byte> answer) {
  if (answer.size() > std::min(limits_.max_answer_bytes, limits_.max_kept_bytes)) {
    return;
  }
  while (kept_bytes_ + answer.size() > limits_.max_kept_bytes) {
    EvictOldestAnswer();
  }
  entry.answer = std::make_shared<const std::vector<std::byte>>(answer.begin(), answer.end());
  kept_bytes_ += answer.size();
  kept_serials_.push_back(serial);
}

void Register::EvictOldestAnswer() {
  Entry* entry = Find(kept_serials_.front());
  kept_serials_.pop_front();
  if (entry != nullptr && entry->answer) {
    kept_bytes_ -= entry->answer->size();
    entry->answer.reset();
  }
}

void Register::Expire(base::Instant now) {
  while (!entries_.empty() && entries_.front().removal_time <= now) {
    const Entry& entry = entries_.front();
    if (entry.answer) {
      kept_bytes_ -= entry.answer->size();
    }
    if (entry.state == State::kRunning || entry.state == State::kDispatched) {
      --running_;
    }
    entries_.pop_front();
    ++first_serial_;
  }
  while (!kept_serials_.empty() && kept_serials_.front() < first_serial_) {
    kept_serials_.pop_front();
  }
}

}  // namespace mangonotch::ticket
