// Options and injected faults of a target stand-in.
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
  unsigned slots = 4;                // More requests in flight breach the caller's grant.
  unsigned shed_at = 0;              // Sheds when this many are in flight; 0 never sheds.
  std::int64_t short_ms = 20;        // Service time of short work.
  std::int64_t long_ms = 400;        // Service time of requests with the header `Work-Class: long`.
  std::vector<PathTime> path_times;  // The longest matching prefix overrides the class.
  std::int64_t cold_requests = 0;    // The first requests after a start run slower,
  std::int64_t cold_extra_ms = 0;    // the first by this much, the following linearly less.
  std::int64_t connection_ms = 0;    // Cost of a new connection, added on `Connection: close`.
  std::int64_t answer_bytes = 64;    // Size of the response body.
};

/// Faults that POST /fault sets.
struct TargetFaults {
  std::int64_t delay_ms = 0;          // Delay of the response after the work is done.
  double slow_factor = 1;             // Multiplies the service time.
  bool drain = false;                 // Announced by GET /health and by headers of the answers.
  bool drain_hidden = false;          // GET /health reports "live" while draining.
  bool shed = false;                  // Sheds all requests.
  bool chunked = false;               // Responses use the chunked transfer encoding.
  std::int64_t lie_load = -1;         // GET /load reports this many in flight; -1: the real number.
  std::int64_t load_lag_ms = 0;       // GET /load reports the value from this long ago.
  std::int64_t cut_body = 0;          // Remaining responses to cut off within the body.
  std::int64_t cut_chunk = 0;         // Remaining responses to cut off within a chunk.
  std::int64_t end_by_close = 0;      // Remaining responses to send without a length.
  std::int64_t wrong_id = 0;          // Remaining responses with another request's Request-Id.
  std::int64_t close_after_read = 0;  // Remaining requests that run and get no response.
  std::int64_t fail = 0;              // Remaining requests that fail with 500 and do not run.
  std::int64_t fail_percent = 0;      // Percentage of requests that fail with 500, spread evenly.
};

}  // namespace mangonotch::standins
