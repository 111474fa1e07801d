// How a target stand-in behaves.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangonotch::standins {

struct PathTime {
  std::string prefix;
  std::int64_t service_ms = 0;
};

struct TargetOptions {
  unsigned slots = 4;                // More requests in flight are a breach of the caller's grant.
  unsigned shed_at = 0;              // Sheds from this many in flight; 0 never sheds.
  std::int64_t short_ms = 20;        // Service time of short work.
  std::int64_t long_ms = 400;        // Service time of requests with the header `Work-Class: long`.
  std::vector<PathTime> path_times;  // The longest matching prefix goes before the class.
  std::int64_t cold_requests = 0;    // The first requests after a start run slower,
  std::int64_t cold_extra_ms = 0;    // the first by this much, the following linearly less.
  std::int64_t connection_ms = 0;    // Added to requests that come on a connection of their own.
  std::int64_t answer_bytes = 64;    // Size of the answer's body.
};

/// What POST /fault sets.
struct TargetFaults {
  std::int64_t delay_ms = 0;          // Answers are late by this much, after the work is done.
  double slow_factor = 1;             // Multiplies the service time.
  bool drain = false;                 // Announced by GET /health and by headers of the answers.
  bool drain_hidden = false;          // GET /health goes on saying "live" while draining.
  bool shed = false;                  // Sheds everything.
  bool chunked = false;               // Answers in chunks.
  std::int64_t lie_load = -1;         // GET /load reports this many in flight; -1 tells the truth.
  std::int64_t load_lag_ms = 0;       // GET /load shows the value of this long ago.
  std::int64_t cut_body = 0;          // Answers left to cut within the body.
  std::int64_t cut_chunk = 0;         // Answers left to cut within a chunk.
  std::int64_t end_by_close = 0;      // Answers left without a length.
  std::int64_t wrong_id = 0;          // Answers left with a Request-Id of another request.
  std::int64_t close_after_read = 0;  // Requests left that run and get no answer.
  std::int64_t fail = 0;              // Requests left that are answered with 500 and do not run.
  std::int64_t fail_percent = 0;      // Share of requests answered with 500, spread evenly.
};

}  // namespace mangonotch::standins
