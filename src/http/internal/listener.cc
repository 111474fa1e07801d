// Adapter over cxxtools::http::Server; compiled as C++17.
#include "http/internal/listener.h"

#include <arpa/inet.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "http/internal/listening_socket.h"

namespace mangonotch::http::internal {
namespace {

/// Thrown from beginRequest: cxxtools then asks replyError for the answer and closes the connection
/// without reading the body.
class RefusedRequest : public std::runtime_error {
 public:
  explicit RefusedRequest(Refusal why) : std::runtime_error("request refused"), refusal(why) {}
  Refusal refusal;
};

/// Holds a port of the system's choice until cxxtools has bound it. The socket never listens, so
/// SO_REUSEADDR lets cxxtools bind the same port.
class PortReservation {
 public:
  explicit PortReservation(const std::string& address) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    const int on = 1;
    socklen_t n = sizeof addr;
    if (inet_pton(AF_INET, address.c_str(), &addr.sin_addr) != 1 ||
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(fd_, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&addr), &n) != 0) {
      const int err = errno;
      ::close(fd_);
      throw std::system_error(err, std::generic_category(), "no free port on " + address);
    }
    port_ = ntohs(addr.sin_port);
  }
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;
  ~PortReservation() { ::close(fd_); }
  std::uint16_t port() const { return port_; }

 private:
  int fd_;
  std::uint16_t port_ = 0;
};

RequestHead HeadOf(const cxxtools::http::Request& request) {
  RequestHead head;
  head.method = request.method();
  head.path = request.url();
  head.query = request.qparams();
  head.version_minor = request.header().httpVersionMinor();
  for (auto it = request.header().begin(); it != request.header().end(); ++it) {
    head.headers.push_back({it->first, it->second});
  }
  return head;
}

void Write(const OutgoingResponse& response, std::ostream& out, cxxtools::http::Reply& reply) {
  reply.httpReturn(response.status, response.reason);
  for (const auto& [name, value] : response.headers) {
    reply.addHeader(name.c_str(), value.c_str());
  }
  if (response.close) {
    reply.setHeader("Connection", "close");
  }
  out << response.body;
}

/// Keeps the connection of a request from being ended while its handler runs. When the handler
/// throws, the connection is closed after the answer.
class HandlingMark {
 public:
  HandlingMark(ConnectionReaper& reaper, int fd) : reaper_(reaper), fd_(fd) {
    reaper_.Mark(fd_, ConnectionReaper::Phase::kHandling);
  }
  HandlingMark(const HandlingMark&) = delete;
  HandlingMark& operator=(const HandlingMark&) = delete;
  ~HandlingMark() {
    if (keep_) {
      reaper_.Unmark(fd_, ConnectionReaper::Phase::kHandling);
    } else {
      reaper_.Mark(fd_, ConnectionReaper::Phase::kClosing);
    }
  }
  void set_keep(bool keep) { keep_ = keep; }

 private:
  ConnectionReaper& reaper_;
  int fd_;
  bool keep_ = false;
};

class SinkResponder : public cxxtools::http::Responder {
 public:
  SinkResponder(cxxtools::http::Service& service, RequestSink& sink, ConnectionReaper& reaper)
      : Responder(service), sink_(sink), reaper_(reaper) {}
  SinkResponder(const SinkResponder&) = delete;
  SinkResponder& operator=(const SinkResponder&) = delete;
  ~SinkResponder() override {
    // The caller closed its connection before the body was whole.
    reaper_.Unmark(incoming_.socket, ConnectionReaper::Phase::kReading);
  }

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& /*in*/,
                    cxxtools::http::Request& request) override {
    incoming_.body.clear();
    incoming_.socket = socket.getFd();
    incoming_.peer = socket.getPeerAddr();
    const RequestHead head = HeadOf(request);
    const Refusal refusal = sink_.CheckHead(head);
    if (refusal != Refusal::kNone) {
      reaper_.Mark(incoming_.socket, ConnectionReaper::Phase::kClosing);
      throw RefusedRequest(refusal);
    }
    body_left_ = request.header().contentLength();
    reaper_.Mark(incoming_.socket, ConnectionReaper::Phase::kReading);
    if (request.hasHeader("Expect")) {
      // cxxtools never sends it, and a caller that asks for it would wait.
      constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      ::send(incoming_.socket, kContinue.data(), kContinue.size(), MSG_NOSIGNAL);
    }
  }

  std::size_t readBody(std::istream& in) override {
    // Bytes beyond the body belong to the next request of the connection.
    const auto n =
        std::min<std::streamsize>(in.rdbuf()->in_avail(), static_cast<std::streamsize>(body_left_));
    if (n <= 0) {
      return 0;
    }
    const std::size_t before = incoming_.body.size();
    incoming_.body.resize(before + static_cast<std::size_t>(n));
    in.read(incoming_.body.data() + before, n);
    body_left_ -= static_cast<std::size_t>(n);
    return static_cast<std::size_t>(n);
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    HandlingMark mark(reaper_, incoming_.socket);
    incoming_.head = HeadOf(request);
    const OutgoingResponse response = sink_.Handle(incoming_);
    Write(response, out, reply);
    mark.set_keep(!response.close);
  }

  void replyError(std::ostream& out, cxxtools::http::Request& /*request*/,
                  cxxtools::http::Reply& reply, const std::exception& ex) override {
    reply.clear();
    const auto* refused = dynamic_cast<const RefusedRequest*>(&ex);
    OutgoingResponse response;
    if (refused != nullptr) {
      response = sink_.Refuse(refused->refusal);
    } else {
      response.status = 500;
      response.reason = "Internal Server Error";
    }
    response.close = true;
    Write(response, out, reply);
  }

 private:
  RequestSink& sink_;
  ConnectionReaper& reaper_;
  IncomingRequest incoming_;
  std::size_t body_left_ = 0;
};

class SinkService : public cxxtools::http::Service {
 public:
  explicit SinkService(RequestSink& sink) : sink_(sink) {}
  /// Before the first request.
  void set_reaper(ConnectionReaper& reaper) { reaper_ = &reaper; }

 private:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request& /*request*/) override {
    return new SinkResponder(*this, sink_, *reaper_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

  RequestSink& sink_;
  ConnectionReaper* reaper_ = nullptr;
};

}  // namespace

class Listener::Impl {
 public:
  Impl(const ListenerSettings& settings, RequestSink& sink) : service_(sink) {
    server_ = std::make_unique<cxxtools::http::Server>(loop_);
    server_->minThreads(settings.threads < 4 ? settings.threads : 4);
    server_->maxThreads(settings.threads);
    // The reaper does the work of these timers; see there for the reason.
    server_->readTimeout(never_ms_);
    server_->writeTimeout(never_ms_);
    server_->keepAliveTimeout(never_ms_);
    server_->addService(cxxtools::Regex(".*"), service_);
    Listen(settings);
    reaper_ = std::make_unique<ConnectionReaper>(port_, settings.timeouts);
    service_.set_reaper(*reaper_);
    thread_ = std::thread([this] { loop_.run(); });
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;
  ~Impl() { Stop(); }

  std::uint16_t port() const { return port_; }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    RefuseNewConnections();
    reaper_->AwaitAnswers();
    reaper_->EndIdle();
    loop_.exit();
    thread_.join();
    server_.reset();
  }

 private:
  /// The requests of connections that were established last are still answered (by a refusal), so
  /// that no caller wonders whether its request ran.
  void RefuseNewConnections() {
    const ListeningSocket socket = ListeningSocket::Find(port_);
    if (!socket) {
      return;
    }
    socket.RefuseNew();
    for (int i = 0; i < kAcceptChecks && socket.HasPending(); ++i) {
      std::this_thread::sleep_for(kAcceptCheck);
    }
    std::this_thread::sleep_for(kLastRequestWait);
  }

  static constexpr std::chrono::milliseconds kAcceptCheck{5};
  static constexpr int kAcceptChecks = 40;
  /// Twice the longest one-way latency between regions (55 ms): a request that follows its
  /// handshake is here by then.
  static constexpr std::chrono::milliseconds kLastRequestWait{110};

  void Listen(const ListenerSettings& settings) {
    if (settings.port != 0) {
      server_->listen(settings.address, settings.port);
      port_ = settings.port;
      return;
    }
    const PortReservation reservation(settings.address);
    server_->listen(settings.address, reservation.port());
    port_ = reservation.port();
  }

  static constexpr std::chrono::hours kNever{24};
  const cxxtools::Milliseconds never_ms_{
      static_cast<double>(std::chrono::milliseconds(kNever).count())};

  cxxtools::EventLoop loop_;
  SinkService service_;
  std::unique_ptr<cxxtools::http::Server> server_;
  std::uint16_t port_ = 0;
  std::unique_ptr<ConnectionReaper> reaper_;
  std::thread thread_;  // Runs loop_; the requests run on the threads of server_.
};

Listener::Listener(const ListenerSettings& settings, RequestSink& sink)
    : impl_(std::make_unique<Impl>(settings, sink)) {}
Listener::~Listener() = default;
std::uint16_t Listener::port() const { return impl_->port(); }
void Listener::Stop() { impl_->Stop(); }

}  // namespace mangonotch::http::internal
