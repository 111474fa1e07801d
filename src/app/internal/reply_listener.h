// An HTTP server whose responses a function makes at once from the state of its owner.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>

#include "base/endpoint.h"
#include "http1/byte_budget.h"
#include "http1/message.h"
#include "http1/server.h"

namespace mangonotch::app {

template <typename Owner>
class ReplyListener {
 public:
  using Reply = http1::Response (*)(Owner&, const http1::Request&);

  /// Binds to `address`; throws base::Error on failure. `context` and `owner` must outlive the
  /// listener. `budget` bounds the memory for callers.
  ReplyListener(boost::asio::io_context& context, const base::Endpoint& address, Owner& owner,
                Reply reply, std::shared_ptr<http1::ByteBudget> budget)
      : owner_(owner), reply_(reply), server_(context, address, *this) {
    server_.SetLimits({.body_bytes = kMaxBodyBytes});
    server_.SetBudget(std::move(budget));
  }

  // Called by the server.

  void OnRequest(http1::RequestId id, const http1::Request& request) {
    server_.Reply(id, reply_(owner_, request));
  }
  void OnCallerGone(http1::RequestId) {}

 private:
  /// No request that a listener serves needs a body.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024;

  Owner& owner_;
  Reply reply_;
  http1::Server<ReplyListener> server_;
};

}  // namespace mangonotch::app
