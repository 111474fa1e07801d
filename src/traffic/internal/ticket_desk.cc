// Implementation of traffic::TicketDesk.
#include "traffic/ticket_desk.h"

#include <chrono>
#include <random>

#include "http/clock.h"

namespace mangonotch::traffic {
namespace {

ticket::Secret DrawSecret() {
  std::random_device device;
  const auto word = [&] { return (static_cast<std::uint64_t>(device()) << 32) | device(); };
  return {word(), word()};
}

std::uint64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void AppendText(std::vector<std::byte>& out, std::string_view text) {
  const auto n = static_cast<std::uint32_t>(text.size());
  for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<std::byte>(n >> shift));
  const auto bytes = std::as_bytes(std::span(text));
  out.insert(out.end(), bytes.begin(), bytes.end());
}

std::string TakeText(std::span<const std::byte>& bytes) {
  std::uint32_t n = 0;
  for (std::size_t i = 0; i < 4; ++i) n |= std::to_integer<std::uint32_t>(bytes[i]) << (8 * i);
  std::string text(reinterpret_cast<const char*>(bytes.data()) + 4, n);
  bytes = bytes.subspan(4 + n);
  return text;
}

}  // namespace

std::vector<std::byte> PackAnswer(const http::Response& response) {
  std::vector<std::byte> out;
  AppendText(out, std::to_string(response.status));
  AppendText(out, response.body);
  for (const auto& it : response.headers) {
    AppendText(out, it.name);
    AppendText(out, it.value);
  }
  return out;
}

http::Response UnpackAnswer(std::span<const std::byte> bytes) {
  http::Response response;
  response.status = static_cast<unsigned>(std::stoul(TakeText(bytes)));
  response.body = TakeText(bytes);
  while (!bytes.empty()) {
    const std::string name = TakeText(bytes);
    response.headers.Add(name, TakeText(bytes));
  }
  return response;
}

TicketDesk::TicketDesk(base::HostId host, base::Incarnation incarnation,
                       const ticket::Limits& limits)
    : secret_(DrawSecret()), register_(std::move(host), incarnation, secret_, limits) {}

std::optional<std::string> TicketDesk::Issue() {
  const std::lock_guard lock(mutex_);
  if (!is_issuing_) return std::nullopt;
  const auto ticket = register_.Issue(http::Now(), UnixMs());
  return ticket ? std::optional(ticket::Format(*ticket)) : std::nullopt;
}

TicketDesk::Entry TicketDesk::Begin(const ticket::Ticket& ticket,
                                    const ticket::RequestView& request, base::Instant deadline) {
  const ticket::Fingerprint fingerprint = ticket::MakeFingerprint(request, secret_);
  std::unique_lock lock(mutex_);
  for (;;) {
    const base::Instant now = http::Now();
    const ticket::BeginResult result = register_.Begin(ticket, fingerprint, now);
    if (result.verdict != ticket::BeginVerdict::kJoin || now >= deadline) {
      return {result.verdict, result.run, result.answer};
    }
    run_ended_.wait_for(lock, std::chrono::nanoseconds((deadline - now).nanoseconds()));
  }
}

bool TicketDesk::MarkDispatched(ticket::RunHandle run, base::Instant deadline) {
  const std::lock_guard lock(mutex_);
  return register_.MarkDispatched(run, deadline, http::Now()) == ticket::DispatchVerdict::kWrite;
}

void TicketDesk::Finish(ticket::RunHandle run, const Served& served) {
  const bool is_answered = served.outcome == Outcome::kAnswered;
  const auto bytes = is_answered ? PackAnswer(served.response) : std::vector<std::byte>();
  const std::lock_guard lock(mutex_);
  register_.Finish(run, is_answered ? ticket::RunOutcome::kAnswered : ticket::RunOutcome::kUnknown,
                   bytes);
  run_ended_.notify_all();
}

bool TicketDesk::FinishNotRun(ticket::RunHandle run) {
  const std::lock_guard lock(mutex_);
  const bool is_certain = register_.FinishNotRun(run);
  run_ended_.notify_all();
  return is_certain;
}

ticket::VoidVerdict TicketDesk::Void(const ticket::Ticket& ticket) {
  const std::lock_guard lock(mutex_);
  return register_.VoidIfNotDispatched(ticket);
}

base::Instant TicketDesk::last_expiry() const {
  const std::lock_guard lock(mutex_);
  return register_.last_expiry();
}

void TicketDesk::StopIssuing() {
  const std::lock_guard lock(mutex_);
  is_issuing_ = false;
}

void TicketDesk::Expire() {
  const std::lock_guard lock(mutex_);
  register_.Expire(http::Now());
}

std::size_t TicketDesk::entries() const {
  const std::lock_guard lock(mutex_);
  return register_.entries();
}

std::size_t TicketDesk::running() const {
  const std::lock_guard lock(mutex_);
  return register_.running();
}

}  // namespace mangonotch::traffic
