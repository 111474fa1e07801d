// Sends requests on threads of its own, at a rate or one after the other, and keeps their
// latencies.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/duration.h"
#include "http/header.h"

namespace mangonotch::bench {

struct LoadPlan {
  /// Request n goes to address n modulo their count.
  std::vector<std::string> addresses;
  std::string path = "/";
  std::vector<http::HeaderView> headers;
  unsigned threads = 16;
  /// Ends after this many requests; 0 sets no limit.
  std::uint64_t count = 0;
  /// Requests a second; 0 sends the next one as soon as a thread is free.
  double rate = 0;
  base::Duration time_limit = base::Duration::Seconds(5);
};

struct Sample {
  /// Since the start of the run, when the request was due.
  double due_s = 0;
  /// From the time at which the request was due, so that a late sender hides no waiting.
  double latency_ms = 0;
};

struct LoadReport {
  double seconds = 0;
  /// Whole answers with status 200, sorted by `due_s`.
  std::vector<Sample> answered;
  /// Number of requests by outcome: a status, or the failure of the call.
  std::map<std::string, std::uint64_t> outcomes;

  double AnsweredPerSecond() const { return static_cast<double>(answered.size()) / seconds; }
  /// Latency below which `percent` of the answers due from `from_s` on lie; 0 without answers.
  double Percentile(double percent, double from_s = 0) const;
  std::string OutcomeText() const;
};

/// Runs until the count or the time limit is reached and all answers are in.
LoadReport RunLoad(const LoadPlan& plan);

}  // namespace mangonotch::bench
