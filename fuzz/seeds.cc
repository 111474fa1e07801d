// Writes the start inputs of the fuzzers whose formats are binary or made by an encoder:
// fuzz_seeds FOLDER makes FOLDER/<fuzzer>/<number>.
#include <filesystem>
#include <fstream>
#include <span>
#include <string>
#include <vector>

#include "ticket/ticket.h"
#include "wire/codec.h"
#include "wire/region_record_json.h"

namespace {

namespace membership = mangonotch::membership;
namespace shares = mangonotch::shares;
namespace wire = mangonotch::wire;

void Write(const std::filesystem::path& folder, std::size_t n, std::span<const char> bytes) {
  std::filesystem::create_directories(folder);
  std::ofstream file(folder / std::to_string(n), std::ios::binary);
  file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

std::vector<wire::Message> Messages() {
  const membership::HostRef ref{"alfold-1", "10.0.0.1:7001", 7};
  const membership::HostInfo host{ref, "10.0.0.1:80", "10.0.0.1:81", "alfold", "a", 3, true, 500};
  const std::vector<membership::LeavingMark> marks{{{8}, true, 6}};
  shares::Heartbeat heartbeat;
  heartbeat.sender = host;
  heartbeat.holdings = {{{1}, mangonotch::base::WorkClass::kLong, 4, 2}};
  heartbeat.demand = {{{2}, mangonotch::base::WorkClass::kShort, 3}};
  heartbeat.marks = marks;
  shares::HeartbeatReply reply;
  reply.sender = ref;
  reply.grants = {{{1}, mangonotch::base::WorkClass::kShort, 4}};
  reply.hosts = {host};
  reply.marks = marks;
  return {heartbeat,
          reply,
          shares::PromiseRequest{ref, "alfold", 1, 2},
          shares::Promise{ref, "alfold", 1, 2, true},
          membership::Announcement{ref, 3, marks},
          membership::RegionSummary{ref, "alfold", 1, 2, {host}, marks}};
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const std::filesystem::path root(argv[1]);
  std::vector<std::byte> bytes;
  for (const auto& message : Messages()) {
    wire::Encode(message, 1, bytes);
    Write(root / "message", message.index(),
          {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
  }
  const membership::HostRef ref{"alfold-1", "10.0.0.1:7001", 7};
  Write(root / "region_record", 0, wire::EncodeRecord({1, ref, {ref}, {ref, ref}, 4}));
  Write(root / "ticket", 0, mangonotch::ticket::Format({"alfold-1", 7, 1, 1'800'000'000'000, 9}));
  return 0;
}
