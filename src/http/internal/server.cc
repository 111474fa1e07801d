// The server: counts refusals, calls the handler and turns its answer into what the listener sends.
#include "http/server.h"

#include <poll.h>

#include "base/error.h"
#include "http/internal/listener.h"
#include "http/url.h"

namespace mangonotch::http {

std::optional<std::string_view> Request::Header(std::string_view name) const {
  for (const HeaderView& line : headers) {
    if (EqualsIgnoreCase(line.name, name)) {
      return line.value;
    }
  }
  return std::nullopt;
}

std::optional<std::string> Request::Parameter(std::string_view name) const {
  return QueryParameter(query, name);
}

bool Request::CallerGone() const {
  if (caller_socket_ < 0) {
    return false;
  }
  pollfd fd{caller_socket_, POLLRDHUP, 0};
  return poll(&fd, 1, 0) > 0 && (fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

class Server::Impl : public internal::RequestSink {
 public:
  Impl(const std::string& address, std::uint16_t port, const ServerLimits& limits, Handler handler)
      : limits_(limits), handler_(std::move(handler)) {
    const internal::ListenerSettings settings{
        address,
        port,
        limits.threads,
        {static_cast<int>(limits.read_timeout.milliseconds()),
         static_cast<int>(limits.idle_timeout.milliseconds())},
    };
    listener_ = std::make_unique<internal::Listener>(settings, *this);
  }

  std::uint16_t port() const { return listener_->port(); }

  void Stop() {
    stopping_ = true;
    listener_->Stop();
  }

  bool stopping() const { return stopping_; }

  std::uint64_t refused(Refusal refusal) const {
    return refused_[static_cast<std::size_t>(refusal)];
  }

 private:
  Refusal CheckHead(const internal::RequestHead& head) override {
    const Refusal refusal = stopping_
                                ? Refusal::kStopping
                                : internal::Check(head, {limits_.body_bytes, limits_.url_bytes});
    if (refusal != Refusal::kNone) {
      ++refused_[static_cast<std::size_t>(refusal)];
    }
    return refusal;
  }

  internal::OutgoingResponse Handle(const internal::IncomingRequest& incoming) override {
    Request request;
    request.method = incoming.head.method;
    request.path = incoming.head.path;
    request.query = incoming.head.query;
    request.headers = incoming.head.headers;
    request.body = incoming.body;
    request.peer = incoming.peer;
    request.set_caller_socket(incoming.socket);
    Response response = handler_(request);
    return ToOutgoing(std::move(response), request.method == "HEAD");
  }

  internal::OutgoingResponse Refuse(Refusal refusal) override {
    Response response;
    response.status = StatusOf(refusal);
    response.headers.Add("Content-Type", "text/plain");
    response.body = std::string(Name(refusal)) + "\n";
    return ToOutgoing(std::move(response), false);
  }

  internal::OutgoingResponse ToOutgoing(Response response, bool head_only) const {
    internal::OutgoingResponse outgoing;
    outgoing.status = response.status;
    outgoing.reason = ReasonPhrase(response.status);
    for (const Headers::Line& line : response.headers) {
      outgoing.headers.emplace_back(line.name, line.value);
    }
    if (head_only) {
      outgoing.headers.emplace_back("Content-Length", std::to_string(response.body.size()));
    } else {
      outgoing.body = std::move(response.body);
    }
    outgoing.close = stopping_;
    return outgoing;
  }

  ServerLimits limits_;
  Handler handler_;
  std::atomic<bool> stopping_ = false;
  std::array<std::atomic<std::uint64_t>, kRefusals> refused_{};
  std::unique_ptr<internal::Listener> listener_;  // Last: its threads use the members above.
};

Server::Server(const std::string& address, std::uint16_t port, ServerLimits limits,
               Handler handler) try
    : impl_(std::make_unique<Impl>(address, port, limits, std::move(handler))) {
} catch (const std::exception& ex) {
  throw base::Error("listen", address + ":" + std::to_string(port), ex.what());
}

Server::~Server() = default;
std::uint16_t Server::port() const { return impl_->port(); }
void Server::Stop() { impl_->Stop(); }
bool Server::stopping() const { return impl_->stopping(); }
std::uint64_t Server::refused(Refusal refusal) const { return impl_->refused(refusal); }

}  // namespace mangonotch::http
