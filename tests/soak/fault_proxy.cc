// Pumps bytes between both ends of each connection.
#include "tests/soak/fault_proxy.h"

#include <vector>

#include "http1/asio_address.h"
#include "http1/clock.h"
#include "http1/internal/write_all.h"

namespace mangonotch::soak {

using boost::asio::ip::tcp;
using boost::system::error_code;

class FaultProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(FaultProxy& proxy, tcp::socket caller)
      : proxy_(&proxy), caller_(std::move(caller)), server_(proxy.context_) {}

  void Start() {
    server_.async_connect(http1::ToAsio(proxy_->server_),
                          [self = shared_from_this()](error_code ec) {
                            if (ec || self->proxy_ == nullptr) {
                              self->End(true);
                              return;
                            }
                            self->Pump(self->caller_, self->server_, self->requests_, true);
                            self->Pump(self->server_, self->caller_, self->answers_, false);
                          });
  }

  void End(bool resets) {
    if (proxy_ == nullptr) return;
    FaultProxy* const proxy = std::exchange(proxy_, nullptr);
    error_code ec;
    // Failures of options and closes change nothing: the connection is given up.
    if (resets) {
      caller_.set_option(boost::asio::socket_base::linger(true, 0), ec);
      server_.set_option(boost::asio::socket_base::linger(true, 0), ec);
    }
    caller_.close(ec);
    server_.close(ec);
    proxy->links_.erase(shared_from_this());
  }

 private:
  struct Piece {
    std::array<char, std::size_t{16} * 1024> buf{};
    std::string bytes;
  };

  void Pump(tcp::socket& from, tcp::socket& to, Piece& piece, bool is_request) {
    from.async_read_some(boost::asio::buffer(piece.buf),
                         [this, self = shared_from_this(), &from, &to, &piece, is_request](
                             error_code ec, std::size_t n) {
                           if (proxy_ == nullptr) return;
                           if (ec) {
                             End(ec != boost::asio::error::eof);
                             return;
                           }
                           piece.bytes.assign(piece.buf.data(), n);
                           const Harm& harm = proxy_->harm_;
                           if (is_request ? harm.silences_requests : harm.silences_answers) return;
                           Forward(from, to, piece, is_request);
                         });
  }

  void Forward(tcp::socket& from, tcp::socket& to, Piece& piece, bool is_request) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(proxy_->context_);
    timer->expires_after(http1::ToChrono(proxy_->harm_.delay));
    timer->async_wait(
        [this, self = shared_from_this(), timer, &from, &to, &piece, is_request](error_code) {
          if (proxy_ == nullptr) return;
          http1::WriteAll(to, piece.bytes,
                          [this, self, &from, &to, &piece, is_request](error_code ec, std::size_t) {
                            if (proxy_ == nullptr) return;
                            if (ec) {
                              End(true);
                              return;
                            }
                            Pump(from, to, piece, is_request);
                          });
        });
  }

  /// Null once the connection has ended.
  FaultProxy* proxy_;
  tcp::socket caller_;
  tcp::socket server_;
  Piece requests_;
  Piece answers_;
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
    const auto link = std::make_shared<Link>(*this, std::move(socket));
    links_.insert(link);
    link->Start();
    Accept();
  });
}

void FaultProxy::ResetAll() {
  const std::vector<std::shared_ptr<Link>> links(links_.begin(), links_.end());
  for (const auto& it : links) it->End(true);
}

}  // namespace mangonotch::soak
