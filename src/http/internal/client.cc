// The client: connect or take a kept connection, write once, read one whole answer.
#include "http/client.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <mutex>
#include <stdexcept>
#include <system_error>
#include <vector>

#include "http/clock.h"
#include "http/internal/answer_reader.h"
#include "http/internal/socket.h"

namespace mangonotch::http {
namespace {

using internal::Socket;
using internal::WaitResult;

bool NeedsLength(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

bool IsTarget(std::string_view target) {
  return !target.empty() && target.front() == '/' &&
         std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

std::string WriteHead(const Endpoint& endpoint, const ClientRequest& request, bool keep) {
  if (!IsToken(request.method) || !IsTarget(request.target)) {
    throw std::invalid_argument("method or target cannot be written");
  }
  std::string head;
  head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  head.append("Host: ").append(endpoint.Text()).append("\r\n");
  head.append(keep ? "" : "Connection: close\r\n");
  if (!request.body.empty() || NeedsLength(request.method)) {
    head.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  for (const HeaderView& line : request.headers) {
    if (!IsToken(line.name) || !IsFieldValue(line.value) || IsConnectionHeader(line.name)) {
      throw std::invalid_argument("header cannot be written: " + std::string(line.name));
    }
    head.append(line.name).append(": ").append(line.value).append("\r\n");
  }
  return head.append("\r\n");
}

/// One exchange on one connection.
class Exchange {
 public:
  Exchange(Socket socket, bool kept, const std::string& peer, base::Instant deadline,
           const ExecuteOptions& options)
      : socket_(std::move(socket)),
        kept_(kept),
        peer_(peer),
        deadline_(deadline),
        options_(options) {}

  void Write(std::string_view head, std::string_view body) {
    if (options_.before_write && !options_.before_write()) {
      Fail(Failure::kVetoed, "before the first byte");
    }
    while (!head.empty() || !body.empty()) {
      const std::size_t n = WriteSome(head, body);
      const std::size_t of_head = std::min(n, head.size());
      head.remove_prefix(of_head);
      body.remove_prefix(n - of_head);
    }
  }

  Response Read(std::string_view method) {
    internal::AnswerReader reader(method, options_, peer_);
    std::array<char, 16 << 10> buf;
    while (true) {
      AwaitReady(POLLIN);
      const ssize_t n = recv(socket_.fd(), buf.data(), buf.size(), 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        continue;
      }
      if (n <= 0) {
        reader.End(kept_);
      }
      if (reader.Put({buf.data(), static_cast<std::size_t>(n)})) {
        reusable_ = reader.reusable();
        return Checked(reader.Take());
      }
    }
  }

  bool reusable() const { return reusable_; }
  Socket TakeSocket() { return std::move(socket_); }

 private:
  /// A target that gives up a kept connection may say so just before the next request reaches it
  /// (RFC 9110, section 15.5.9).
  Response Checked(Response response) const {
    constexpr unsigned kRequestTimeout = 408;
    if (kept_ && response.status == kRequestTimeout) {
      Fail(Failure::kStaleConnection, "status 408 on a kept connection");
    }
    return response;
  }

  std::size_t WriteSome(std::string_view head, std::string_view body) {
    while (true) {
      AwaitReady(POLLOUT);
      std::array<iovec, 2> parts = {
          iovec{const_cast<char*>(head.data()), head.size()},
          iovec{const_cast<char*>(body.data()), body.size()},
      };
      msghdr message{};
      message.msg_iov = parts.data();
      message.msg_iovlen = parts.size();
      const ssize_t n = sendmsg(socket_.fd(), &message, MSG_NOSIGNAL);
      if (n > 0) {
        written_ = true;
        return static_cast<std::size_t>(n);
      }
      if (errno != EAGAIN && errno != EINTR) {
        Fail(Failure::kWrite, std::generic_category().message(errno));
      }
    }
  }

  void AwaitReady(internal::PollEvents events) {
    switch (internal::Wait(socket_.fd(), events, deadline_, options_)) {
      case WaitResult::kReady:
        return;
      case WaitResult::kTimeout:
        Fail(Failure::kTimeout, "deadline passed");
      case WaitResult::kCancelled:
        Fail(Failure::kCancelled, "by the caller");
    }
  }

  [[noreturn]] void Fail(Failure failure, const std::string& detail) const {
    throw ClientError(failure, written_, peer_, detail);
  }

  Socket socket_;
  bool kept_;
  const std::string& peer_;
  base::Instant deadline_;
  const ExecuteOptions& options_;
  bool written_ = false;  // Becomes true with the first byte that the kernel took.
  bool reusable_ = false;
};

}  // namespace

/// Idle kept-alive connections. Each is used by one call at a time.
class Client::Pool {
 public:
  Socket Take(const Endpoint& endpoint) {
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[endpoint];
    while (!idle.empty()) {
      Entry entry = std::move(idle.back());
      idle.pop_back();
      if (Now() < entry.expiry && internal::IsIdle(entry.socket.fd())) {
        return std::move(entry.socket);
      }
    }
    return {};
  }

  void Put(const Endpoint& endpoint, Socket socket) {
    const std::lock_guard lock(mutex_);
    auto& idle = idle_[endpoint];
    if (idle.size() < kMaxIdle) {
      idle.push_back({std::move(socket), Now() + kIdleTime});
    }
  }

  void Forget(const Endpoint& endpoint) {
    const std::lock_guard lock(mutex_);
    idle_.erase(endpoint);
  }

 private:
  /// A worker accepts about 330 connections, shared by 8 to 9 entry hosts.
  static constexpr std::size_t kMaxIdle = 16;
  /// Shorter than the 15 s after which common servers close idle connections, to meet few stale
  /// ones.
  static constexpr base::Duration kIdleTime = base::Duration::Seconds(5);

  struct Entry {
    Socket socket;
    base::Instant expiry;
  };
  std::mutex mutex_;
  std::map<Endpoint, std::vector<Entry>> idle_;  // Guarded by mutex_.
};

bool IsConnectionHeader(std::string_view name) {
  constexpr std::array<std::string_view, 10> kNames = {
      "Connection", "Keep-Alive", "Proxy-Connection", "TE",    "Trailer", "Transfer-Encoding",
      "Upgrade",    "Host",       "Content-Length",   "Expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](std::string_view known) { return EqualsIgnoreCase(name, known); });
}

Client::Client() : pool_(std::make_unique<Pool>()) {}
Client::~Client() = default;

Response Client::Execute(const Endpoint& endpoint, const ClientRequest& request,
                         base::Instant deadline, const ExecuteOptions& options) {
  const bool keep = options.connection == ConnectionUse::kKeptAlive;
  const std::string head = WriteHead(endpoint, request, keep);
  const std::string peer = endpoint.Text();
  Socket socket = keep ? pool_->Take(endpoint) : Socket();
  const bool kept = static_cast<bool>(socket);
  if (!kept) {
    socket = internal::Connect(endpoint, deadline, options);
  }
  Exchange exchange(std::move(socket), kept, peer, deadline, options);
  exchange.Write(head, request.body);
  Response response = exchange.Read(request.method);
  if (keep && exchange.reusable()) {
    pool_->Put(endpoint, exchange.TakeSocket());
  }
  return response;
}

void Client::Forget(const Endpoint& endpoint) { pool_->Forget(endpoint); }

}  // namespace mangonotch::http
