// A child process of an end-to-end test: started, watched by its output, signalled and ended by its
// process id.
#pragma once

#include <sys/types.h>

#include <span>
#include <string>
#include <string_view>

namespace mangonotch::support {

class Process {
 public:
  /// Starts `argv[0]` with its output appended to `log_path` and its errors to `log_path`.err.
  /// Throws base::Error when that fails.
  Process(std::span<const std::string> argv, std::string log_path);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();  // Kills the process when it still runs.

  /// Waits at most 20 s for a line of output that starts with `prefix` and returns the rest of it.
  std::string WaitForLine(std::string_view prefix) const;
  void Signal(int signal_number) const;
  /// Waits at most `milliseconds` for the process to end; -1 when it has not. Exit status
  /// otherwise.
  int Wait(int milliseconds);
  void Kill();

  pid_t pid() const { return pid_; }
  const std::string& log_path() const { return log_path_; }
  /// All output, then all errors.
  std::string Output() const;

 private:
  pid_t pid_ = -1;  // -1 once the process has been waited for.
  int exit_status_ = -1;
  std::string log_path_;
};

}  // namespace mangonotch::support
