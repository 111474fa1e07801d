// A client connection and the listening end that a test answers by hand.
#pragma once

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http1/client_connection.h"
#include "http1/tests/loopback.h"

namespace mangonotch::http1 {

inline constexpr ClientLimits kClientLimits{.connect_time = base::Duration::Milliseconds(300)};

struct ClientFixture {
  explicit ClientFixture(const ClientLimits& limits = kClientLimits,
                         std::shared_ptr<ByteBudget> body_budget = nullptr)
      : acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
        connection(std::make_shared<ClientConnection>(context, limits, std::move(body_budget))) {}
  ~ClientFixture() { connection->Close(); }

  void Exchange(std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n") {
    result.reset();
    connection->Exchange(
        LoopbackAt(acceptor.local_endpoint().port()), std::move(request), false,
        [](const Response& it) { return FindHeader(it.headers, "Id") != "other"; },
        [this](ExchangeResult it) { result = std::move(it); });
  }
  /// Sends a request that the server does not read to its end: the client is left writing it.
  LoopbackSocket& StartUpload() {
    constexpr int kReceiveBuffer = 16 * 1024;
    constexpr std::size_t kUploadBytes = std::size_t{16} * 1024 * 1024;
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
    Exchange("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kUploadBytes) +
             "\r\n\r\n" + std::string(kUploadBytes, 'u'));
    if (!server) server.emplace(acceptor);
    RunBriefly(context);
    return *server;
  }
  /// The server's end of the connection; waits until the request has been received.
  LoopbackSocket& Server() {
    if (!server) server.emplace(acceptor);
    const bool has_request =
        RunContext(context, [&] { return server->Received().ends_with("\r\n\r\n"); });
    REQUIRE(has_request);
    return *server;
  }
  /// Runs the client until the exchange has ended; false on timeout.
  bool RunUntilDone() {
    return RunContext(context, [&] { return result.has_value(); });
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<ClientConnection> connection;
  std::optional<LoopbackSocket> server;
  std::optional<ExchangeResult> result;
};

}  // namespace mangonotch::http1
