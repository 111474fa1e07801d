// A target over HTTP: slots, service times, drain, load report, log of runs, and faults on demand.
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

  /// GET /health, /load, /runs, /counters; POST /fault; all other paths are work.
  http::Response Handle(const http::Request& request);

 private:
  /// How the answer of a request is spoilt.
  enum class Spoil { kNone, kCutBody, kCutChunk, kEndByClose, kWrongId, kNoAnswer, kChunked };
  enum class Entry { kRun, kBreach, kShed, kFail };
  enum class WorkEnd { kDone, kCancelled, kDeadline };

  struct Job {
    Entry entry = Entry::kRun;
    Spoil spoil = Spoil::kNone;
    bool draining = false;
    std::int64_t service_ms = 0;
    std::int64_t late_ms = 0;
  };

  http::Response Work(const http::Request& request);
  Job Begin(const http::Request& request);
  void End(WorkEnd end);
  WorkEnd Run(const http::Request& request, const Job& job) const;
  http::Response Answer(const http::Request& request, const Job& job);
  http::Response Refuse(const Job& job) const;
  std::int64_t ServiceMs(const http::Request& request);
  Entry Admit();
  Spoil NextSpoil();
  void NoteLoad();
  void NoteDrain(base::Instant now);

  http::Response Health();
  http::Response Load();
  http::Response Runs(const http::Request& request);
  http::Response Counters();
  http::Response Fault(const http::Request& request);

  const TargetOptions options_;
  std::mutex mutex_;
  // All below are guarded by mutex_.
  TargetFaults faults_;
  TargetCounters counters_;
  std::map<std::string, std::uint64_t, std::less<>> runs_;  // Request-Id to starts of its work.
  std::map<std::string, std::uint64_t, std::less<>> runs_of_path_;  // Starts of its work.
  std::map<base::Instant, unsigned> load_history_;  // In flight since then, for load_lag_ms.
  std::int64_t cold_left_;
  base::Instant drain_since_;
};

}  // namespace mangonotch::standins
