// Stand-in for a target over HTTP: admission, execution and responses of work.
#include "standins/target/target_service.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "http/clock.h"
#include "standins/common/parameters.h"
#include "standins/common/raw_answer.h"

namespace mangonotch::standins {
namespace {

constexpr std::int64_t kMaxServiceMs = 600'000;

bool DecrementIfPositive(std::int64_t& left) {
  if (left <= 0) {
    return false;
  }
  --left;
  return true;
}

std::string RawHead(const http::Request& request, std::string_view framing) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  head.append("Request-Id: ").append(request.Header("Request-Id").value_or("")).append("\r\n");
  return head.append(framing).append("\r\n");
}

std::string Chunk(std::string_view bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return std::string(size).append(bytes).append("\r\n");
}

}  // namespace

TargetService::TargetService(TargetOptions options)
    : options_(std::move(options)), cold_left_(options_.cold_requests) {}

http::Response TargetService::Handle(const http::Request& request) {
  const std::string_view path = request.path;
  if (path == "/health") {
    return Health();
  }
  if (path == "/load") {
    return Load();
  }
  if (path == "/runs") {
    return Runs(request);
  }
  if (path == "/counters") {
    return Counters();
  }
  return path == "/fault" ? Fault(request) : Work(request);
}

http::Response TargetService::Work(const http::Request& request) {
  const Job job = Begin(request);
  if (job.admission != Admission::kRun) {
    return Refuse(job);
  }
  const WorkEnd end = Run(request, job);
  End(end);
  if (end == WorkEnd::kDeadline) {
    return Text(504, "deadline passed\n");
  }
  if (end == WorkEnd::kCancelled) {
    return Text(503, "cancelled\n");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(job.response_delay_ms));
  return Answer(request, job);
}

TargetService::Job TargetService::Begin(const http::Request& request) {
  const std::lock_guard lock(mutex_);
  ++counters_.requests;
  Job job;
  job.draining = faults_.drain;
  if (job.draining) {
    RecordRequestWhileDraining(http::Now());
  }
  job.admission = Admit();
  if (job.admission != Admission::kRun) {
    return job;
  }
  job.response_fault = NextResponseFault();
  job.service_ms = ServiceMs(request);
  job.response_delay_ms = faults_.delay_ms;
  ++counters_.runs;
  ++counters_.in_flight;
  counters_.peak_in_flight = std::max(counters_.peak_in_flight, counters_.in_flight);
  RecordLoad();
  ++runs_[std::string(request.Header("Request-Id").value_or(""))];
  ++runs_of_path_[std::string(request.path)];
  return job;
}

void TargetService::RecordLoad() {
  constexpr std::size_t kMaxHistoryEntries = 100'000;
  if (load_history_.size() >= kMaxHistoryEntries) {
    load_history_.erase(load_history_.begin());
  }
  load_history_[http::Now()] = counters_.in_flight;
}

void TargetService::RecordRequestWhileDraining(base::Instant now) {
  ++counters_.while_draining;
  counters_.last_after_drain_ms = (now - drain_since_).milliseconds();
}

TargetService::Admission TargetService::Admit() {
  if (counters_.in_flight >= options_.slots) {
    ++counters_.breaches;
    return Admission::kBreach;
  }
  if (faults_.shed || (options_.shed_at != 0 && counters_.in_flight >= options_.shed_at)) {
    ++counters_.shed;
    return Admission::kShed;
  }
  const auto n = static_cast<std::int64_t>(counters_.requests);
  const bool in_share = n * faults_.fail_percent / 100 != (n - 1) * faults_.fail_percent / 100;
  if (DecrementIfPositive(faults_.fail) || in_share) {
    ++counters_.failed;
    return Admission::kFail;
  }
  return Admission::kRun;
}

TargetService::ResponseFault TargetService::NextResponseFault() {
  if (DecrementIfPositive(faults_.close_after_read)) {
    return ResponseFault::kNoAnswer;
  }
  if (DecrementIfPositive(faults_.cut_body)) {
    return ResponseFault::kCutBody;
  }
  if (DecrementIfPositive(faults_.cut_chunk)) {
    return ResponseFault::kCutChunk;
  }
  if (DecrementIfPositive(faults_.end_by_close)) {
    return ResponseFault::kEndByClose;
  }
  if (DecrementIfPositive(faults_.wrong_id)) {
    return ResponseFault::kWrongId;
  }
  return faults_.chunked ? ResponseFault::kChunked : ResponseFault::kNone;
}

std::int64_t TargetService::ServiceMs(const http::Request& request) {
  std::int64_t ms = request.Header("Work-Class") == "long" ? options_.long_ms : options_.short_ms;
  std::size_t longest = 0;
  for (const PathTime& path : options_.path_times) {
    if (request.path.starts_with(path.prefix) && path.prefix.size() >= longest) {
      longest = path.prefix.size();
      ms = path.service_ms;
    }
  }
  ms = IntegerHeader(request, "Service-Ms").value_or(ms);
  if (cold_left_ > 0) {
    ms += options_.cold_extra_ms * cold_left_ / options_.cold_requests;
    --cold_left_;
  }
  if (request.Header("Connection") == "close") {
    ms += options_.connection_ms;
  }
  return std::clamp<std::int64_t>(
      static_cast<std::int64_t>(static_cast<double>(ms) * faults_.slow_factor), 0, kMaxServiceMs);
}

TargetService::WorkEnd TargetService::Run(const http::Request& request, const Job& job) const {
  const std::int64_t allowed = IntegerHeader(request, "Deadline-Ms").value_or(kMaxServiceMs);
  const base::Instant end =
      http::Now() + base::Duration::Milliseconds(std::min(job.service_ms, allowed));
  while (true) {
    const auto left = (end - http::Now() + base::Duration::Nanoseconds(999'999)).milliseconds();
    if (left <= 0) {
      return allowed < job.service_ms ? WorkEnd::kDeadline : WorkEnd::kDone;
    }
    pollfd caller{request.caller_socket(), POLLRDHUP, 0};
    if (poll(&caller, 1, static_cast<int>(left)) > 0) {
      return WorkEnd::kCancelled;
    }
  }
}

void TargetService::End(WorkEnd end) {
  const std::lock_guard lock(mutex_);
  --counters_.in_flight;
  RecordLoad();
  switch (end) {
    case WorkEnd::kDone:
      ++counters_.completed;
      break;
    case WorkEnd::kCancelled:
      ++counters_.cancelled;
      break;
    case WorkEnd::kDeadline:
      ++counters_.deadline_passed;
      break;
  }
}

http::Response TargetService::Refuse(const Job& job) const {
  if (job.admission == Admission::kFail) {
    return Text(500, "failed\n");
  }
  http::Response response =
      Text(503, job.admission == Admission::kBreach ? "more than its slots\n" : "shed\n");
  response.headers.Add("Retry-After", "1");
  return response;
}

http::Response TargetService::Answer(const http::Request& request, const Job& job) {
  const auto bytes = IntegerHeader(request, "Answer-Bytes").value_or(options_.answer_bytes);
  const std::string body(static_cast<std::size_t>(std::clamp<std::int64_t>(bytes, 2, 16 << 20)),
                         'x');
  const std::string_view whole = body;
  const std::string_view half = whole.substr(0, whole.size() / 2);
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  constexpr std::string_view kChunked = "Transfer-Encoding: chunked\r\n";
  switch (job.response_fault) {
    case ResponseFault::kNoAnswer:
      CloseCallerConnection(request);
      break;
    case ResponseFault::kCutBody:
      SendRawResponse(request, RawHead(request, length).append(half));
      break;
    case ResponseFault::kCutChunk:
      SendRawResponse(request, RawHead(request, kChunked) + Chunk(half) + Chunk(half).substr(0, 3));
      break;
    case ResponseFault::kEndByClose:
      SendRawResponse(request, RawHead(request, "Connection: close\r\n").append(body));
      break;
    case ResponseFault::kChunked:
      SendRawResponse(request, RawHead(request, std::string(kChunked) + "Connection: close\r\n") +
                                   Chunk(half) + Chunk(half) + "0\r\n\r\n");
      break;
    case ResponseFault::kWrongId:
    case ResponseFault::kNone:
      break;
  }
  http::Response response = Text(200, body);
  const std::string_view id = request.Header("Request-Id").value_or("");
  response.headers.Add("Request-Id",
                       job.response_fault == ResponseFault::kWrongId ? "of-another-request" : id);
  if (job.draining) {
    response.headers.Add("Draining", "1");
    response.headers.Add("Connection", "close");
  }
  return response;
}

}  // namespace mangonotch::standins
