// Runs crowds of callers outside the limits, and targets that do not read, against an entry host
// of a small machine. Guards against a host that keeps whatever it is sent until its machine has no
// memory left, and against one that serves nobody else meanwhile.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "http1/message.h"
#include "tests/edge_tests/crowd.h"
#include "tests/support/edge_settings.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;

constexpr std::size_t kKib = 1024;
constexpr std::size_t kMib = kKib * kKib;
/// Memory of the host's machine in these tests; no process may use more.
constexpr int kMachineMb = 64;
constexpr std::size_t kMachineKib = kMachineMb * kKib;
/// Descriptors that the process may open by its settings.
constexpr std::size_t kMachineDescriptors = 1024;
/// The stand-in configuration's limit on bodies.
constexpr std::size_t kMaxBodyBytes = kMib;
/// A caller of each crowd sends no more than this.
constexpr std::size_t kMaxSentBytes = 8 * kMib;
constexpr std::size_t kCrowd = 100;
constexpr Duration kSendTime = Duration::Seconds(40);
constexpr Duration kAnswerTime = Duration::Seconds(5);
/// Time in which the host receives what is left in the sockets' buffers.
constexpr Duration kSettleTime = Duration::Milliseconds(1500);

std::string Head(const std::string& method, const std::string& path, const std::string& framing) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kCallerHost +
         "\r\nX-Attempt-Id: crowd\r\nX-Timeout-Remaining: 5000\r\n" + framing + "\r\n";
}

std::string ChunkedHead() { return Head("POST", "/file/1", "Transfer-Encoding: chunked\r\n"); }

std::string Chunk(std::size_t size) {
  std::string digits;
  for (std::size_t n = size; n > 0; n /= 16) digits.insert(0, 1, "0123456789abcdef"[n % 16]);
  return digits + "\r\n" + std::string(size, 'a') + "\r\n";
}

/// A caller within the limits gets its answer.
void CheckOrdinaryCaller(EdgeDeployment& deployment, const std::string& id) {
  const std::string received = deployment.ReceivedByCaller(0, id, kAnswerTime);
  INFO(received);
  REQUIRE(received.starts_with("HTTP/1.1 200"));
  REQUIRE(received.find("whole answer to " + id) != std::string::npos);
}

void CheckUsage(EdgeDeployment& deployment) {
  REQUIRE(deployment.host(0).process->Wait(0) == -1);
  const ProcessUsage usage = UsageOf(deployment.host(0).process->pid());
  INFO("peak " << usage.peak_kib << " KiB, descriptors " << usage.descriptors);
  CHECK(usage.peak_kib > 0);
  CHECK(usage.peak_kib <= kMachineKib);
  CHECK(usage.descriptors <= kMachineDescriptors);
}

/// Runs one crowd against a new host and checks that the host stays within its machine.
void CheckCrowd(const std::string& name, const CallerScript& script) {
  INFO(name);
  EdgeDeployment deployment("memory-" + name, 1, Duration::Milliseconds(20), kMachineMb);
  REQUIRE(deployment.RunUntilReady());
  Crowd crowd(deployment.host(0), kCrowd, script);
  CHECK(crowd.Send(deployment, kSendTime));
  deployment.RunFor(kSettleTime);
  CheckUsage(deployment);
  CheckOrdinaryCaller(deployment, "after-" + name);
}

std::size_t TimesToReach(std::size_t bytes, std::size_t block_bytes) {
  return (bytes + block_bytes - 1) / block_bytes;
}

}  // namespace

TEST_CASE("Trailers and chunk extensions without end") {
  const std::string trailer = "Name: " + std::string(1000, 'a') + "\r\n";
  CheckCrowd("trailers", {.start = ChunkedHead() + Chunk(16) + "0\r\n",
                          .block = trailer,
                          .repeats = TimesToReach(kMaxSentBytes, trailer.size())});
  CheckCrowd("extensions", {.start = ChunkedHead() + "10;name=",
                            .block = std::string(kKib, 'a'),
                            .repeats = kMaxSentBytes / kKib});
}

TEST_CASE("Bodies far over the limit, announced or simply sent") {
  CheckCrowd("announced", {.start = Head("POST", "/file/1", "Content-Length: 67108864\r\n"),
                           .block = std::string(kKib, 'a'),
                           .repeats = kMaxSentBytes / kKib});
  CheckCrowd(
      "sent",
      {.start = ChunkedHead(), .block = Chunk(16 * kKib), .repeats = kMaxSentBytes / (16 * kKib)});
}

TEST_CASE("Bodies within the limit that stop just short of their end") {
  CheckCrowd("length", {.start = Head("POST", "/file/1",
                                      "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n"),
                        .block = std::string(kKib, 'a'),
                        .repeats = kMaxBodyBytes / kKib,
                        .cut_bytes = 1});
  CheckCrowd("large-chunks", {.start = ChunkedHead(),
                              .block = Chunk(16 * kKib),
                              .repeats = kMaxBodyBytes / (16 * kKib),
                              .cut_bytes = 1});
  CheckCrowd(
      "small-chunks",
      {.start = ChunkedHead(), .block = Chunk(4), .repeats = kMaxBodyBytes / 4, .cut_bytes = 1});
}

TEST_CASE("Callers that do not read large answers") {
  EdgeDeployment deployment("memory-slow-callers", 1, Duration::Milliseconds(20), kMachineMb);
  REQUIRE(deployment.RunUntilReady());
  // Of all callers at once, the host would refuse most before a target has room for them.
  constexpr std::size_t kRounds = 10;
  constexpr Duration kRoundTime = Duration::Milliseconds(300);
  std::vector<Crowd> crowds;
  for (std::size_t i = 0; i < kRounds; ++i) {
    crowds.emplace_back(
        deployment.host(0), kCrowd / kRounds,
        CallerScript{.start = {}, .block = Head("GET", "/look/large/1", ""), .repeats = 2});
    CHECK(crowds.back().Send(deployment, kSendTime));
    deployment.RunFor(kRoundTime);
  }
  deployment.RunFor(kSettleTime);
  CheckUsage(deployment);
  CheckOrdinaryCaller(deployment, "after-slow-callers");
}

TEST_CASE("Targets that do not read large requests") {
  EdgeDeployment deployment("memory-slow-targets", 1, Duration::Milliseconds(20), kMachineMb);
  REQUIRE(deployment.RunUntilReady());
  // Connections to it are established by the kernel, and nothing reads from them.
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor silent(context, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  for (const std::size_t i : {0U, 1U}) {
    platform::testing::StandInWorker& worker = deployment.worker(i);
    deployment.store().Put(worker.EntryKey(), worker.Entry(address, false));
  }
  deployment.RunFor(kSettleTime);
  Crowd crowd(deployment.host(0), kCrowd,
              {.start = Head("POST", "/file/1",
                             "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n"),
               .block = std::string(kKib, 'a'),
               .repeats = kMaxBodyBytes / kKib});
  CHECK(crowd.Send(deployment, kSendTime));
  deployment.RunFor(kSettleTime);
  CheckUsage(deployment);
  for (const std::size_t i : {0U, 1U}) {
    platform::testing::StandInWorker& worker = deployment.worker(i);
    deployment.store().Put(worker.EntryKey(),
                           worker.Entry("127.0.0.1:" + std::to_string(worker.port()), false));
  }
  deployment.RunFor(kSettleTime);
  CheckOrdinaryCaller(deployment, "after-slow-targets");
}

// Guards against bounds that refuse a caller within the limits.
TEST_CASE("A request with the largest body is served while the host is calm") {
  EdgeDeployment deployment("memory-calm", 1, Duration::Milliseconds(20), kMachineMb);
  REQUIRE(deployment.RunUntilReady());
  std::string chunks;
  for (std::size_t i = 0; i < kMaxBodyBytes / 4; ++i) chunks += "4\r\naaaa\r\n";
  const std::string length = "Content-Length: " + std::to_string(kMaxBodyBytes) + "\r\n";
  for (const std::string& request :
       {Head("POST", "/file/1", length) + std::string(kMaxBodyBytes, 'a'),
        ChunkedHead() + chunks + "0\r\n\r\n"}) {
    http1::LoopbackSocket caller(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address(deployment.host(0).ip), support::kEdgeCallerPort));
    std::size_t sent = 0;
    const bool is_answered = deployment.RunUntil(kAnswerTime, [&] {
      sent += caller.SendSome(request.substr(sent));
      return caller.Received().find("whole answer to crowd") != std::string::npos ||
             caller.IsClosed();
    });
    INFO(caller.Received());
    REQUIRE(is_answered);
    REQUIRE(caller.Received().starts_with("HTTP/1.1 200"));
  }
}

}  // namespace mangonotch::edge_tests
