// Guards against sockets that lose their peer's address, miss a wake-up, or wait for a stuck peer.
#include <arpa/inet.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstring>
#include <string>
#include <thread>

#include "base/error.h"
#include "wire/internal/system.h"
#include "wire/internal/table_frame.h"
#include "wire/limits.h"
#include "wire/table_pull.h"
#include "wire/table_server.h"
#include "wire/udp_socket.h"

namespace mangonotch::wire {
namespace {

SocketAddress AnyPort() { return SocketAddress::Parse("127.0.0.1:0"); }

base::Instant In(std::int64_t seconds) {
  return internal::Now() + base::Duration::Seconds(seconds);
}

/// A peer that accepts one connection, sends `bytes` and closes.
class FalsePeer {
 public:
  explicit FalsePeer(std::vector<std::byte> bytes)
      : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    internal::Bind(listener_, AnyPort(), "bind");
    REQUIRE(listen(listener_.get(), 1) == 0);
    thread_ = std::thread([this, bytes = std::move(bytes)] {
      const FileDescriptor fd(accept(listener_.get(), nullptr, nullptr));
      send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      shutdown(fd.get(), SHUT_WR);
      std::array<std::byte, 64> rest;
      while (recv(fd.get(), rest.data(), rest.size(), 0) > 0) {
      }
    });
  }
  ~FalsePeer() { thread_.join(); }

  SocketAddress local() const { return internal::LocalAddress(listener_); }

 private:
  FileDescriptor listener_;
  std::thread thread_;
};

std::vector<std::byte> Head(std::uint32_t length) {
  const auto frame = internal::EncodePullHead({3, length});
  return {frame.begin(), frame.end()};
}

}  // namespace

TEST_CASE("Addresses survive their text, and names and malformed ones are refused") {
  for (const std::string text : {"127.0.0.1:7001", "0.0.0.0:0", "[::1]:7001", "[fe80::1]:65535"}) {
    const auto address = SocketAddress::Parse(text);
    REQUIRE(address.ToString() == text);
    // The endpoint of a received datagram compares equal to the one parsed from the settings.
    sockaddr_storage raw{};
    std::memcpy(&raw, address.address(), address.length());
    REQUIRE(SocketAddress(raw, address.length()) == address);
  }
  for (const char* text : {"", "127.0.0.1", "localhost:1", "::1:7001", "[::1]", "127.0.0.1:65536",
                           "127.0.0.1:-1", "127.0.0.1:1x", "127.1:1", "[127.0.0.1]:1"}) {
    REQUIRE_THROWS_AS(SocketAddress::Parse(text), base::Error);
  }
}

TEST_CASE("A datagram arrives with its sender, over IPv4 and IPv6") {
  for (const char* address : {"127.0.0.1:0", "[::1]:0"}) {
    const UdpSocket a(SocketAddress::Parse(address));
    const UdpSocket b(SocketAddress::Parse(address));
    const std::array<std::byte, 3> bytes{std::byte{1}, std::byte{2}, std::byte{3}};
    REQUIRE(a.Send(b.local(), bytes));
    std::array<std::byte, kMaxDatagramBytes> buf;
    const Received received = b.Receive(buf, In(10));
    REQUIRE(received.event == ReceiveEvent::kDatagram);
    REQUIRE(received.from == a.local());
    REQUIRE(std::equal(bytes.begin(), bytes.end(), received.bytes.begin(), received.bytes.end()));
  }
}

TEST_CASE("A datagram larger than the buffer is not passed on cut off") {
  const UdpSocket a(AnyPort());
  const std::array<std::byte, 8> bytes{};
  REQUIRE(a.Send(a.local(), bytes));
  std::array<std::byte, 7> buf;
  REQUIRE(a.Receive(buf, In(10)).event == ReceiveEvent::kOversized);
}

TEST_CASE("Receive ends at its deadline and at a wake-up from another thread") {
  const UdpSocket a(AnyPort());
  std::array<std::byte, 8> buf;
  REQUIRE(a.Receive(buf, internal::Now()).event == ReceiveEvent::kTimeout);
  std::thread other([&a] { a.Wake(); });
  REQUIRE(a.Receive(buf, base::Instant::Never()).event == ReceiveEvent::kWoken);
  other.join();
  REQUIRE(a.Receive(buf, internal::Now()).event == ReceiveEvent::kTimeout);
}

TEST_CASE("Two processes cannot share a peer address, which attests that the old one is gone") {
  const UdpSocket a(AnyPort());
  try {
    const UdpSocket b(a.local());
    FAIL("the address was shared");
  } catch (const base::Error& e) {
    REQUIRE(e.step() == "bind peer socket");
    REQUIRE(e.peer() == a.local().ToString());
  }
}

TEST_CASE("A host pulls the table that is published, also the largest") {
  TableServer server(AnyPort());
  REQUIRE(PullTable(server.local(), In(10)) == TableText{});
  const auto table =
      std::make_shared<const TableText>(TableText{9, std::string(kMaxTableBytes, 't')});
  server.Publish(table);
  REQUIRE(PullTable(server.local(), In(10)) == *table);
  const auto large =
      std::make_shared<const TableText>(TableText{10, std::string(kMaxTableBytes + 1, 't')});
  REQUIRE_THROWS_AS(server.Publish(large), base::Error);
}

TEST_CASE("Peers that connect and stay silent delay no other pull") {
  // A server that served one peer after the other would take 4 s for each silent one.
  TableServer server(AnyPort());
  std::vector<FileDescriptor> silent;
  for (int i = 0; i < 8; ++i) {
    silent.push_back(internal::OpenSocket(server.local(), SOCK_STREAM, "connect"));
    // The connection is under way when connect returns; nothing is sent on it.
    const int ec = connect(silent.back().get(), server.local().address(), server.local().length());
    REQUIRE((ec == 0 || errno == EINPROGRESS));
  }
  REQUIRE(PullTable(server.local(), In(10)).revision == 0);
}

TEST_CASE("A pull from a false, early ending, silent or absent peer fails with its address") {
  const auto pull = [](const SocketAddress& peer) { PullTable(peer, In(10)); };
  auto stranger = Head(0);
  stranger[1] = std::byte{0};
  REQUIRE_THROWS_WITH(pull(FalsePeer(stranger).local()), Catch::Contains("wrong-magic"));
  auto newer = Head(0);
  newer[5] = std::byte{9};
  REQUIRE_THROWS_WITH(pull(FalsePeer(newer).local()), Catch::Contains("wrong-version"));
  const auto too_long = Head(kMaxTableBytes + 1);
  REQUIRE_THROWS_WITH(pull(FalsePeer(too_long).local()),
                      Catch::Contains("too-long") && Catch::Contains("[127.0.0.1:"));
  REQUIRE_THROWS_WITH(pull(FalsePeer(Head(5)).local()), Catch::Contains("closed the connection"));
  const auto closed = [] { return UdpSocket(AnyPort()).local(); }();
  REQUIRE_THROWS_WITH(pull(closed), Catch::Contains(closed.ToString()));

  const auto listener = internal::OpenSocket(AnyPort(), SOCK_STREAM, "open");
  internal::Bind(listener, AnyPort(), "bind");
  REQUIRE(listen(listener.get(), 1) == 0);
  REQUIRE_THROWS_WITH(PullTable(internal::LocalAddress(listener),
                                internal::Now() + base::Duration::Milliseconds(20)),
                      Catch::Contains("deadline"));
}

}  // namespace mangonotch::wire
