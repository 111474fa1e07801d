// Implementation of traffic::CallerApi.
#include "traffic/caller_api.h"

#include <algorithm>
#include <array>

#include "base/hash.h"
#include "http/clock.h"
#include "http/url.h"
#include "jsonc/print.h"
#include "traffic/json.h"

namespace mangonotch::traffic {
namespace {

constexpr std::string_view kTicketHeader = "Idempotency-Ticket";
constexpr std::string_view kOutcomeHeader = "Mangonotch-Outcome";
constexpr std::string_view kReasonHeader = "Mangonotch-Reason";
/// Longest time that a forwarded void or request may take beyond its own deadline.
constexpr base::Duration kForwardMargin = base::Duration::Milliseconds(500);
constexpr base::Duration kVoidTime = base::Duration::Seconds(2);

http::Response JsonResponse(unsigned status, jsonc::Value::Object object) {
  http::Response response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = jsonc::PrintCompact(jsonc::Value(std::move(object))) + "\n";
  return response;
}

std::uint64_t RetryAfterSeconds(base::Duration wait) {
  return static_cast<std::uint64_t>((wait.milliseconds() + 999) / 1000);
}

const membership::HostInfo* FindHost(const control::Snapshot& snapshot, std::string_view host) {
  const auto it = std::find_if(snapshot.hosts.begin(), snapshot.hosts.end(),
                               [&](const auto& info) { return info.ref.host == host; });
  return it == snapshot.hosts.end() ? nullptr : &*it;
}

/// Outcome of a refusal before the ticket was looked at. A request with a ticket may be a repeat
/// whose first copy has run at its issuer, so only its register can say that it did not.
Outcome BeforeTicket(const http::Request& request) {
  return request.Header(kTicketHeader) ? Outcome::kUnknown : Outcome::kNotRun;
}

/// What a caller is told about a ticket that gives no run and no answer.
Served RefuseTicket(ticket::BeginVerdict verdict) {
  using ticket::BeginVerdict;
  const Outcome outcome = ticket::ProvesNotRun(verdict) ? Outcome::kNotRun : Outcome::kUnknown;
  switch (verdict) {
    case BeginVerdict::kVoid:
      return Served::Refused(outcome, RefusalReason::kTicketVoid, 409);
    case BeginVerdict::kExpired:
      return Served::Refused(outcome, RefusalReason::kTicketExpired, 409);
    case BeginVerdict::kMismatch:
      return Served::Refused(outcome, RefusalReason::kTicketMismatch, 422);
    case BeginVerdict::kNotIssued:
      return Served::Refused(outcome, RefusalReason::kTicketNotIssued, 422);
    case BeginVerdict::kForgotten:
      return Served::Refused(outcome, RefusalReason::kTicketForgotten, 409);
    case BeginVerdict::kAnsweredNotKept:
      return Served::Refused(outcome, RefusalReason::kAnswerNotKept, 409);
    case BeginVerdict::kOtherHost:
    case BeginVerdict::kOtherIncarnation:
      return Served::Refused(outcome, RefusalReason::kTicketIssuerGone, 504);
    default:
      return Served::Refused(Outcome::kUnknown, RefusalReason::kOutcomeUnknown, 504);
  }
}

}  // namespace

CallerApi::CallerApi(CallerApiSettings settings, const control::SnapshotCell& snapshots,
                     Dispatcher& dispatcher, TicketDesk& tickets, Counters& counters)
    : settings_(std::move(settings)),
      snapshots_(snapshots),
      dispatcher_(dispatcher),
      tickets_(tickets),
      counters_(counters) {}

http::Response CallerApi::Handle(const http::Request& request, bool is_forwarded) {
  const control::SnapshotPtr snapshot = snapshots_.Load();
  if (!snapshot->table) return Refuse(BeforeTicket(request), RefusalReason::kNoTable, 503);
  if (request.path == "/v1/lookup") return Lookup(*snapshot, request);
  if (request.path == "/v1/ticket") return IssueTicket(*snapshot, request);
  if (request.path == "/v1/ticket/void") return VoidTicket(*snapshot, request, is_forwarded);
  if (request.path.starts_with("/s/")) return Serve(*snapshot, request, is_forwarded);
  return Refuse(Outcome::kNotRun, RefusalReason::kBadRequest, 404);
}

Fallback CallerApi::FallbackOf(const control::SteeringTable& table) const {
  return {table.FindRegion(settings_.region).value_or(base::RegionIndex{0}),
          table.FindZone(settings_.zone).value_or(base::ZoneIndex{0})};
}

http::Response CallerApi::Lookup(const control::Snapshot& snapshot, const http::Request& request) {
  counters_.lookups.Add();
  const control::SteeringTable& table = *snapshot.table;
  const auto service = request.Parameter("service");
  if (!service || !table.FindService(*service)) {
    return Refuse(Outcome::kNotRun, RefusalReason::kNoService, 404);
  }
  const auto client = request.Parameter("client");
  const std::string address = client.value_or(std::string(request.peer));
  if (client && !topology::ParseAddress(*client)) {
    return Refuse(Outcome::kNotRun, RefusalReason::kBadRequest, 400);
  }
  const topology::Location home = LocateCaller(table, address, FallbackOf(table));
  std::array<std::uint32_t, lookup::kMaxRankedHosts> ranked{};
  const std::size_t n = snapshot.directory.Rank({home.region, home.zone, base::Hash(address)},
                                                table.DistancesFrom(home.region), ranked);
  jsonc::Value::Array hosts;
  for (std::size_t i = 0; i < n; ++i) {
    const membership::HostInfo& it = snapshot.hosts[ranked[i]];
    hosts.emplace_back(jsonc::Value::Object{
        Field("host", Text(it.ref.host)), Field("address", Text(it.caller_address)),
        Field("region", Text(it.region)), Field("zone", Text(it.zone))});
  }
  jsonc::Value::Object object = {Field("service", Text(*service)),
                                 Field("revision", Number(table.revision())),
                                 Field("ttl_ms", Number(table.table().lookup_ttl_ms)),
                                 Field("hosts", jsonc::Value(std::move(hosts)))};
  if (request.Parameter("ticket") == "1") {
    if (const auto ticket = tickets_.Issue()) object.push_back(Field("ticket", Text(*ticket)));
  }
  return JsonResponse(200, std::move(object));
}

http::Response CallerApi::IssueTicket(const control::Snapshot& snapshot,
                                      const http::Request& request) {
  if (request.method != "POST") return Refuse(Outcome::kNotRun, RefusalReason::kBadRequest, 405);
  const auto service = request.Parameter("service");
  if (!service || !snapshot.table->FindService(*service)) {
    return Refuse(Outcome::kNotRun, RefusalReason::kNoService, 404);
  }
  const auto ticket = tickets_.Issue();
  if (!ticket) {
    const auto reason = snapshot.leaving ? RefusalReason::kLeaving : RefusalReason::kTicketsFull;
    return Refuse(Outcome::kNotRun, reason, 503);
  }
  return JsonResponse(200, {Field("ticket", Text(*ticket))});
}

http::Response CallerApi::VoidTicket(const control::Snapshot& snapshot,
                                     const http::Request& request, bool is_forwarded) {
  if (request.method != "POST") return Refuse(Outcome::kNotRun, RefusalReason::kBadRequest, 405);
  const auto text = request.Header(kTicketHeader);
  if (!text) return Refuse(Outcome::kNotRun, RefusalReason::kTicketRequired, 428);
  const auto parsed = ticket::Parse(*text);
  const auto* ticket = std::get_if<ticket::Ticket>(&parsed);
  if (ticket == nullptr) return Refuse(Outcome::kUnknown, RefusalReason::kTicketMalformed, 400);
  switch (tickets_.Void(*ticket)) {
    case ticket::VoidVerdict::kVoided:
      return Refuse(Outcome::kNotRun, RefusalReason::kTicketVoid, 200);
    case ticket::VoidVerdict::kDispatched:
      return Refuse(Outcome::kUnknown, RefusalReason::kOutcomeUnknown, 409);
    case ticket::VoidVerdict::kOtherHost:
      if (!is_forwarded) return Forward(snapshot, request, ticket->host, http::Now() + kVoidTime);
      return Refuse(Outcome::kUnknown, RefusalReason::kTicketIssuerGone, 504);
    case ticket::VoidVerdict::kUnknown:
      break;
  }
  return Refuse(Outcome::kUnknown, RefusalReason::kTicketForgotten, 409);
}

http::Response CallerApi::Serve(const control::Snapshot& snapshot, const http::Request& request,
                                bool is_forwarded) {
  counters_.requests.Add();
  const control::SteeringTable& table = *snapshot.table;
  auto planned = PlanRequest(table, request, FallbackOf(table), http::Now());
  if (auto* refusal = std::get_if<Served>(&planned)) {
    refusal->outcome = BeforeTicket(request);
    return ToResponse(std::move(*refusal));
  }
  const RequestPlan& plan = std::get<RequestPlan>(planned);
  if (plan.is_idempotent) return ToResponse(dispatcher_.Run(table, plan, request, {}));

  const auto text = request.Header(kTicketHeader);
  if (!text) {
    http::Response response = Refuse(Outcome::kNotRun, RefusalReason::kTicketRequired, 428);
    if (const auto ticket = tickets_.Issue()) response.headers.Set(kTicketHeader, *ticket);
    return response;
  }
  const auto parsed = ticket::Parse(*text);
  const auto* ticket = std::get_if<ticket::Ticket>(&parsed);
  if (ticket == nullptr) return Refuse(Outcome::kUnknown, RefusalReason::kTicketMalformed, 400);
  if (ticket->host != settings_.self.host && !is_forwarded) {
    return Forward(snapshot, request, ticket->host, plan.deadline + kForwardMargin);
  }
  return ToResponse(ServeTicketed(*snapshot.table, plan, request, *ticket));
}

Served CallerApi::ServeTicketed(const control::SteeringTable& table, const RequestPlan& plan,
                                const http::Request& request, const ticket::Ticket& ticket) {
  const TicketDesk::Entry entry = tickets_.Begin(ticket,
                                                 {.service = table.ServiceAt(plan.service).name,
                                                  .method = request.method,
                                                  .path = plan.target_path,
                                                  .body = request.body},
                                                 plan.deadline);
  switch (entry.verdict) {
    case ticket::BeginVerdict::kRun:
      return RunTicket(table, plan, request, entry.run);
    case ticket::BeginVerdict::kReplay:
      return Served::Answered(UnpackAnswer(*entry.answer));
    default:
      return RefuseTicket(entry.verdict);
  }
}

Served CallerApi::RunTicket(const control::SteeringTable& table, const RequestPlan& plan,
                            const http::Request& request, ticket::RunHandle run) {
  const TicketHooks hooks{.mark_dispatched = [&](base::Instant deadline) {
    return tickets_.MarkDispatched(run, deadline);
  }};
  Served served;
  try {
    served = dispatcher_.Run(table, plan, request, hooks);
  } catch (...) {
    // The run must end, or repeats of the request would wait for it.
    tickets_.Finish(run, Served{});
    throw;
  }
  if (served.outcome != Outcome::kNotRun) {
    tickets_.Finish(run, served);
  } else if (!tickets_.FinishNotRun(run)) {
    served.outcome = Outcome::kUnknown;
  }
  return served;
}

http::Response CallerApi::Forward(const control::Snapshot& snapshot, const http::Request& request,
                                  const base::HostId& issuer, base::Instant deadline) {
  const membership::HostInfo* host = FindHost(snapshot, issuer);
  if (host == nullptr) return Refuse(Outcome::kUnknown, RefusalReason::kTicketIssuerGone, 504);
  counters_.forwarded.Add();
  std::vector<http::HeaderView> headers;
  for (const http::HeaderView& it : request.headers) {
    const bool is_framing = http::EqualsIgnoreCase(it.name, "Host") ||
                            http::EqualsIgnoreCase(it.name, "Content-Length");
    if (!is_framing && !http::IsConnectionHeader(it.name)) headers.push_back(it);
  }
  std::string target = http::EncodePath(request.path);
  if (!request.query.empty()) target += "?" + std::string(request.query);
  http::ExecuteOptions options;
  options.max_body_bytes = Dispatcher::kMaxAnswerBytes;
  options.cancel_socket = request.caller_socket();
  try {
    return peers_.Execute(
        http::Endpoint::Parse(host->peer_http_address),
        {.method = request.method, .target = target, .headers = headers, .body = request.body},
        deadline, options);
  } catch (const http::ClientError&) {
    return Refuse(Outcome::kUnknown, RefusalReason::kTicketIssuerGone, 504);
  }
}

http::Response CallerApi::ToResponse(Served served) {
  http::Response response = std::move(served.response);
  response.headers.Set(kOutcomeHeader, Name(served.outcome));
  if (served.outcome == Outcome::kAnswered) {
    counters_.answered.Add();
    return response;
  }
  counters_.refusals.Add(served.reason);
  response.headers.Set(kReasonHeader, Name(served.reason));
  if (served.outcome == Outcome::kNotRun && response.status == 503) {
    const auto seconds = std::max<std::uint64_t>(1, RetryAfterSeconds(served.retry_after));
    response.headers.Set("Retry-After", std::to_string(seconds));
  }
  response.headers.Set("Content-Type", "application/json");
  response.body = jsonc::PrintCompact(jsonc::Value(
                      jsonc::Value::Object{Field("outcome", Text(Name(served.outcome))),
                                           Field("reason", Text(Name(served.reason)))})) +
                  "\n";
  return response;
}

http::Response CallerApi::Refuse(Outcome outcome, RefusalReason reason, unsigned status) {
  return ToResponse(Served::Refused(outcome, reason, status));
}

}  // namespace mangonotch::traffic
