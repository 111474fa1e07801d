// Stand-in for a target over HTTP, with slots, service times, draining, load reports, a log of runs
// and fault injection.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/instant.h"
#include "http/server.h"
#include "standins/target/target_counters.h"
#include "standins/target/target_options.h"

namespace mangonotch::standins {

class TargetService {
 public:
  explicit TargetService(TargetOptions options);

  /// Serves GET /health, /load, /runs and /counters, and POST /fault. Requests for all other paths
  /// are work.
  http::Response Handle(const http::Request& request);

 private:
  /// Fault injected into the response of a request that ran.
  enum class ResponseFault {
    kNone,
    kCutBody,
    kCutChunk,
    kEndByClose,
    kWrongId,
    kNoAnswer,
    kChunked
  };
  enum class Admission { kRun, kBreach, kShed, kFail };
  enum class WorkEnd { kDone, kCancelled, kDeadline };

  struct Job {
    Admission admission = Admission::kRun;
    ResponseFault response_fault = ResponseFault::kNone;
    bool draining = false;
    std::int64_t service_ms = 0;
    std::int64_t response_delay_ms = 0;
  };

  http::Response Work(const http::Request& request);
  Job Begin(const http::Request& request);
  void End(WorkEnd end);
  WorkEnd Run(const http::Request& request, const Job& job) const;
  http::Response Answer(const http::Request& request, const Job& job);
  http::Response Refuse(const Job& job) const;
  std::int64_t ServiceMs(const http::Request& request);
  Admission Admit();
  ResponseFault NextResponseFault();
  void RecordLoad();
  void RecordRequestWhileDraining(base::Instant now);

  http::Response Health();
  http::Response Load();
  http::Response Runs(const http::Request& request);
  http::Response Counters();
  http::Response Fault(const http::Request& request);

  const TargetOptions options_;
  std::mutex mutex_;
  // mutex_ guards all members below.
  TargetFaults faults_;
  TargetCounters counters_;
  std::map<std::string, std::uint64_t, std::less<>> runs_;          // Starts of work by Request-Id.
  std::map<std::string, std::uint64_t, std::less<>> runs_of_path_;  // Starts of work by path.
  std::map<base::Instant, unsigned>
      load_history_;  // Requests in flight from each time on, for load_lag_ms.
  std::int64_t cold_left_;
  base::Instant drain_since_;
};

}  // namespace mangonotch::standins
