// Ends connections on which nothing moves. cxxtools has timers for this, but with them a caller can
// crash the process: when it closes the connection of an unfinished request just as the timer
// fires, cxxtools uses the socket after it was freed (seen with 40 half requests closed at the
// moment of the time-out). So its timers are set to a day, and this class shuts connections down,
// which cxxtools handles like a close by the caller. Stays within C++17.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

namespace mangonotch::http::internal {

struct ReaperSettings {
  int read_timeout_ms = 0;  // Without a byte, while the body of a request is not whole.
  int idle_timeout_ms = 0;  // Without a byte in either direction, else.
};

class ConnectionReaper {
 public:
  enum class Phase {
    kReading,   // The header of a request is there, its body is not.
    kHandling,  // A handler runs: the connection is not ended.
    kClosing,   // The answer is on its way, and cxxtools closes the connection after it.
  };

  /// Watches the accepted connections of the listening socket on `port`.
  ConnectionReaper(std::uint16_t port, const ReaperSettings& settings);
  ConnectionReaper(const ConnectionReaper&) = delete;
  ConnectionReaper& operator=(const ConnectionReaper&) = delete;
  ~ConnectionReaper();

  void Mark(int fd, Phase phase);
  /// Removes the mark when it is `phase`.
  void Unmark(int fd, Phase phase);
  /// Returns when no request is read or handled. Requests that stay half end by their time-out.
  void AwaitAnswers();
  /// Ends every connection without a mark on which no answer is on its way.
  void EndIdle() { Reap(true); }

 private:
  void Run();
  void Reap(bool stopping);
  void ReapOne(int fd, bool stopping);
  bool MayEnd(int fd, int connection, bool stopping) const;

  const std::uint16_t port_;
  const ReaperSettings settings_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Both are guarded by mutex_.
  std::map<int, Phase> phases_;  // A connection that closes while reading leaves its entry to the
                                 // next of its number.
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace mangonotch::http::internal
