// Sending of the callers, and the reading of /proc.
#include "tests/edge_tests/crowd.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <utility>

#include "tests/support/edge_settings.h"

namespace mangonotch::edge_tests {
namespace {

constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
/// The callers do not read, and the kernel takes little on their behalf.
constexpr int kReceiveBufferBytes = 16 * 1024;
constexpr base::Duration kRunTime = base::Duration::Milliseconds(2);

}  // namespace

Crowd::Crowd(const EdgeProcess& host, std::size_t size, CallerScript script)
    : script_(std::move(script)) {
  do {
    blocks_ += script_.block;
  } while (blocks_.size() < kWriteBytes);
  const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(host.ip),
                                               support::kEdgeCallerPort);
  for (std::size_t i = 0; i < size; ++i) {
    callers_.push_back({.socket = std::make_unique<http1::LoopbackSocket>(address)});
    callers_.back().socket->SetReceiveBuffer(kReceiveBufferBytes);
  }
}

bool Crowd::Send(EdgeDeployment& deployment, base::Duration limit) {
  return deployment.RunUntil(
      limit,
      [&] {
        bool has_ended = true;
        for (Caller& it : callers_) has_ended = Advance(it) && has_ended;
        return has_ended;
      },
      kRunTime);
}

bool Crowd::Advance(Caller& caller) const {
  const std::size_t end =
      script_.start.size() + script_.repeats * script_.block.size() - script_.cut_bytes;
  while (caller.sent < end) {
    const bool is_start = caller.sent < script_.start.size();
    const std::string& text = is_start ? script_.start : blocks_;
    const std::size_t at =
        is_start ? caller.sent : (caller.sent - script_.start.size()) % script_.block.size();
    const std::size_t n = std::min(text.size() - at, end - caller.sent);
    const std::size_t taken = caller.socket->SendSome(text.substr(at, n));
    caller.sent += taken;
    if (taken == 0) return caller.socket->HasFailed();
  }
  return true;
}

ProcessUsage UsageOf(pid_t pid) {
  ProcessUsage usage;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  for (std::string name; status >> name;) {
    if (name == "VmHWM:") status >> usage.peak_kib;
  }
  std::error_code ec;
  for (std::filesystem::directory_iterator it(folder + "/fd", ec), end; !ec && it != end;
       it.increment(ec)) {
    ++usage.descriptors;
  }
  return usage;
}

}  // namespace mangonotch::edge_tests
