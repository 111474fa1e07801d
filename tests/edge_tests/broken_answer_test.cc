// Workers in trouble against the process of an entry host. Guards against callers that get their
// bytes as an answer, and against a process that ends or keeps all that it is sent.
#include <poll.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "http1/tests/loopback.h"
#include "tests/edge_tests/crowd.h"
#include "tests/edge_tests/edge_deployment.h"
#include "tests/support/edge_settings.h"

namespace mangonotch::edge_tests {
namespace {

using base::Duration;

/// Memory of the host's machine; the process may not use more.
constexpr int kMachineMb = 64;
constexpr std::size_t kMachineKib = std::size_t{kMachineMb} * 1024;
/// More than the sockets' buffers hold, so that the host is left writing the upload.
constexpr std::size_t kUploadBytes = std::size_t{6} * 1024 * 1024;
constexpr Duration kAnswerTime = Duration::Seconds(5);
/// Time in which the host learns of changed entries, and the workers' sockets fill.
constexpr Duration kSettleTime = Duration::Milliseconds(1500);

constexpr const char* kSuccess =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: upload\r\nX-Response-Signature: s\r\n";

std::string Upload() {
  return "POST /file/1 HTTP/1.1\r\nHost: " + std::string(kCallerHost) +
         "\r\nX-Attempt-Id: upload\r\nX-Timeout-Remaining: 5000\r\nContent-Length: " +
         std::to_string(kUploadBytes) + "\r\n\r\n" + std::string(kUploadBytes, 'u');
}

/// A host that knows one worker only, which the test answers for by hand.
struct TroubledWorker {
  explicit TroubledWorker(const std::string& name)
      : deployment("broken-" + name, 1, Duration::Milliseconds(20), kMachineMb),
        acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}) {
    constexpr int kReceiveBuffer = 16 * 1024;
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    REQUIRE(deployment.RunUntilReady());
    AllowUploads();
    deployment.store().Delete(deployment.worker(1).EntryKey());
    AnnounceWorker(acceptor.local_endpoint().port());
  }

  /// Replaces the limit on bodies in the configuration.
  void AllowUploads() {
    std::string configuration = platform::testing::MakeConfiguration(
        2, kCallerHost, deployment.worker(0).options().service);
    const std::string limit = "\"maxBodyBytes\":1048576";
    const std::size_t at = configuration.find(limit);
    REQUIRE(at != std::string::npos);
    configuration.replace(at, limit.size(), "\"maxBodyBytes\":" + std::to_string(kUploadBytes));
    deployment.store().Put(std::string(platform::testing::kConfigurationStoreKey), configuration);
  }

  void AnnounceWorker(std::uint16_t port) {
    platform::testing::StandInWorker& stand_in = deployment.worker(0);
    deployment.store().Put(stand_in.EntryKey(),
                           stand_in.Entry("127.0.0.1:" + std::to_string(port), false));
    deployment.RunFor(kSettleTime);
  }

  /// Sends an upload to the host and accepts the host's connection to the worker.
  void StartUpload() {
    caller.emplace(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address(deployment.host(0).ip), support::kEdgeCallerPort));
    const std::string request = Upload();
    std::size_t sent = 0;
    REQUIRE(deployment.RunUntil(kAnswerTime, [&] {
      sent += caller->SendSome(request.substr(sent));
      pollfd pending{acceptor.native_handle(), POLLIN, 0};
      return sent == request.size() && poll(&pending, 1, 0) > 0;
    }));
    worker.emplace(acceptor);
    deployment.RunFor(Duration::Milliseconds(100));
  }

  /// Checks that the caller of the upload gets no success, and that the host lives within its
  /// machine and serves the next caller.
  void CheckNoHarm() {
    REQUIRE(deployment.RunUntil(kAnswerTime, [&] {
      return caller->Received().find("\r\n\r\n") != std::string::npos || caller->IsClosed();
    }));
    CHECK(caller->Received().starts_with("HTTP/1.1 50"));
    REQUIRE(deployment.host(0).process->Wait(0) == -1);
    CHECK(UsageOf(deployment.host(0).process->pid()).peak_kib <= kMachineKib);
    AnnounceWorker(deployment.worker(0).port());
    const std::string received = deployment.ReceivedByCaller(0, "next", kAnswerTime);
    INFO(received);
    CHECK(received.starts_with("HTTP/1.1 200"));
  }

  EdgeDeployment deployment;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::optional<http1::LoopbackSocket> caller;
  std::optional<http1::LoopbackSocket> worker;
};

}  // namespace

TEST_CASE("An early answer without a length that is reset while the upload is written") {
  TroubledWorker trouble("reset");
  trouble.StartUpload();
  trouble.worker->Send(std::string(kSuccess) + "\r\npart");
  trouble.deployment.RunFor(Duration::Milliseconds(100));
  trouble.worker->Reset();
  trouble.CheckNoHarm();
}

TEST_CASE("An answer that announces more than there is") {
  TroubledWorker trouble("announced");
  trouble.StartUpload();
  trouble.worker->Send(std::string(kSuccess) + "Content-Length: 1000000000000\r\n\r\npart");
  trouble.CheckNoHarm();
}

TEST_CASE("Bytes without end in a head and in a body") {
  constexpr std::size_t kSentBytes = std::size_t{64} * 1024 * 1024;
  const std::string block(std::size_t{64} * 1024, 'a');
  for (const std::string start : {"HTTP/1.1 200 OK\r\nName: ", kSuccess, ""}) {
    INFO(start);
    TroubledWorker trouble("endless");
    trouble.StartUpload();
    trouble.worker->Send(start == kSuccess ? start + "\r\n" : start);
    std::size_t sent = 0;
    trouble.deployment.RunUntil(
        kAnswerTime,
        [&] {
          std::size_t n = 0;
          do {
            n = trouble.worker->SendSome(block);
            sent += n;
          } while (n == block.size() && sent < kSentBytes);
          return sent >= kSentBytes || trouble.worker->HasFailed();
        },
        Duration::Milliseconds(1));
    CHECK(trouble.worker->HasFailed());
    trouble.CheckNoHarm();
  }
}

}  // namespace mangonotch::edge_tests
