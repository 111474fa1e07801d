// Implementation of FaultProxy: relays bytes in both directions of each connection.
#include "tests/support/fault_proxy.h"

#include <vector>

#include "http1/asio_address.h"
#include "http1/clock.h"
#include "http1/internal/write_all.h"

namespace mangonotch::support {

using boost::asio::ip::tcp;
using boost::system::error_code;

class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy& proxy, tcp::socket client)
      : proxy_(&proxy), client_(std::move(client)), server_(proxy.context_) {}

  void Start() {
    server_.async_connect(
        http1::ToAsio(proxy_->server_), [self = shared_from_this()](error_code ec) {
          if (ec || self->proxy_ == nullptr) {
            self->Close(true);
            return;
          }
          self->RelayNext(self->client_, self->server_, self->request_buffer_, true);
          self->RelayNext(self->server_, self->client_, self->response_buffer_, false);
        });
  }

  void Close(bool with_reset) {
    if (proxy_ == nullptr) return;
    FaultProxy* const proxy = std::exchange(proxy_, nullptr);
    error_code ec;
    // Errors are ignored: the connection is abandoned either way.
    if (with_reset) {
      client_.set_option(boost::asio::socket_base::linger(true, 0), ec);
      server_.set_option(boost::asio::socket_base::linger(true, 0), ec);
    }
    client_.close(ec);
    server_.close(ec);
    proxy->connections_.erase(shared_from_this());
  }

 private:
  struct RelayBuffer {
    std::array<char, std::size_t{16} * 1024> buf{};
    std::string bytes;
  };

  void RelayNext(tcp::socket& from, tcp::socket& to, RelayBuffer& buffer, bool is_request) {
    from.async_read_some(boost::asio::buffer(buffer.buf),
                         [this, self = shared_from_this(), &from, &to, &buffer, is_request](
                             error_code ec, std::size_t n) {
                           if (proxy_ == nullptr) return;
                           if (ec) {
                             Close(ec != boost::asio::error::eof);
                             return;
                           }
                           buffer.bytes.assign(buffer.buf.data(), n);
                           const ConnectionFault& fault = proxy_->fault_;
                           if (is_request ? fault.drops_requests : fault.drops_responses) return;
                           WriteDelayed(from, to, buffer, is_request);
                         });
  }

  void WriteDelayed(tcp::socket& from, tcp::socket& to, RelayBuffer& buffer, bool is_request) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(proxy_->context_);
    timer->expires_after(http1::ToChrono(proxy_->fault_.delay));
    timer->async_wait([this, self = shared_from_this(), timer, &from, &to, &buffer,
                       is_request](error_code) {
      if (proxy_ == nullptr) return;
      http1::WriteAll(to, buffer.bytes,
                      [this, self, &from, &to, &buffer, is_request](error_code ec, std::size_t) {
                        if (proxy_ == nullptr) return;
                        if (ec) {
                          Close(true);
                          return;
                        }
                        RelayNext(from, to, buffer, is_request);
                      });
    });
  }

  /// Null once the connection is closed.
  FaultProxy* proxy_;
  tcp::socket client_;
  tcp::socket server_;
  RelayBuffer request_buffer_;
  RelayBuffer response_buffer_;
};

FaultProxy::FaultProxy(boost::asio::io_context& context, const base::Endpoint& listen,
                       const base::Endpoint& server)
    : context_(context), acceptor_(context, http1::ToAsio(listen)), server_(server) {
  Accept();
}

FaultProxy::~FaultProxy() { ResetAll(); }

void FaultProxy::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
    Accept();
  });
}

void FaultProxy::ResetAll() {
  const std::vector<std::shared_ptr<Connection>> connections(connections_.begin(),
                                                             connections_.end());
  for (const auto& it : connections) it->Close(true);
}

}  // namespace mangonotch::support
