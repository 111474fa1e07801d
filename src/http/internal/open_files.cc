// The open file numbers of this process, from /proc.
#include "http/internal/open_files.h"

#include <charconv>
#include <filesystem>
#include <string>
#include <system_error>

namespace mangonotch::http::internal {

std::vector<int> OpenFiles() {
  std::vector<int> files;
  std::error_code ec;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", ec)) {
    const std::string name = entry.path().filename();
    int fd = -1;
    std::from_chars(name.data(), name.data() + name.size(), fd);
    files.push_back(fd);
  }
  return files;
}

}  // namespace mangonotch::http::internal
