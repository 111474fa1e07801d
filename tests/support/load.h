// Callers in several threads that send requests to the entry hosts of a deployment until they are
// stopped, with the results counted by outcome.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/deployment.h"

namespace mangonotch::support {

/// What a caller got for one request.
enum class CallResult : std::uint8_t {
  kAnswered,
  kNotRun,
  kUnknown,
  kNoAnswer,    // Connection refused, cut or timed out.
  kMismatched,  // Answered, but the body is not that of this request.
  kNoOutcome,   // An answer without the header Mangonotch-Outcome.
};
inline constexpr std::size_t kCallResults = 6;

/// The result that an answer names in its header Mangonotch-Outcome.
CallResult ResultOf(const http::Response& response);

struct LoadSpec {
  int threads = 24;
  std::string service = "status";
  /// Hosts that are called in turn; empty means all.
  std::vector<std::size_t> hosts = {};
  /// Follow look-ups and their time to live as callers do, instead of calling hosts in turn. The
  /// first look-up goes to the last host of the deployment.
  bool uses_lookups = false;
  int deadline_ms = 3000;
  /// Source address of the calls, such as 127.0.1.5; empty for the system's choice.
  std::string source = {};
};

class Load {
 public:
  Load(Deployment& deployment, LoadSpec spec);
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  ~Load();

  void Stop();
  std::uint64_t Count(CallResult result) const;
  std::uint64_t Answered() const { return Count(CallResult::kAnswered); }
  /// Requests of this host that were answered.
  std::uint64_t AnsweredBy(std::size_t host) const { return answered_by_[host]; }
  /// Answers not-run with status 503 that lack the header Retry-After.
  std::uint64_t without_retry_after() const { return without_retry_after_; }
  /// Host and reason of the first call that was not answered; empty when there was none.
  std::string first_failure() const;
  /// All counts, for messages of failed assertions.
  std::string Text() const;

 private:
  struct Cached;

  void Run(int thread);
  std::size_t ChooseHost(int thread, int n, Cached& cached);
  void Refresh(Cached& cached);
  CallResult Call(std::size_t host, int size);
  http::Response Send(const std::string& address, const std::string& target,
                      const std::string& bytes);
  void NoteFailure(std::size_t host, std::string_view reason);
  void Note(CallResult result, std::size_t host);

  Deployment& deployment_;
  const LoadSpec spec_;
  std::atomic<bool> is_stopping_ = false;
  std::array<std::atomic<std::uint64_t>, kCallResults> counts_{};
  std::vector<std::atomic<std::uint64_t>> answered_by_;
  std::atomic<std::uint64_t> without_retry_after_ = 0;
  mutable std::mutex mutex_;
  std::string first_failure_;  // Guarded by mutex_.
  std::vector<std::thread> threads_;
};

}  // namespace mangonotch::support
