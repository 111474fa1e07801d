// Stand-ins of the platform for the cases under review/: the store, workers, a client connection
// and the entry hosts as separate processes. Blocking sockets and threads; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
/// Milliseconds since the program started.
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Lines of record.txt, each with its time.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    char at[32];
    std::snprintf(at, sizeof at, "%9.1f ms  ", NowMs());
    out_ << at << line << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::uint32_t group = 0;
  int bits = 0;
  for (const unsigned char c : bytes) {
    group = (group << 8) | c;
    for (bits += 8; bits >= 6;) text += kDigits[(group >> (bits -= 6)) & 63];
  }
  if (bits > 0) text += kDigits[(group << (6 - bits)) & 63];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

inline std::string Unbase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) continue;
    group = (group << 6) | static_cast<std::uint32_t>(digit);
    if ((bits += 6) >= 8) bytes += static_cast<char>((group >> (bits -= 8)) & 255);
  }
  return bytes;
}

struct Address {
  std::string ip;
  int port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

/// A message as it was read: the first line, the headers with lower-case names, and the body.
struct Message {
  std::string first;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
  std::string Word(int n) const {
    std::size_t at = 0;
    for (; n > 0; --n) at = first.find(' ', at) + 1;
    return first.substr(at, first.find(' ', at) - at);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

/// One TCP connection.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {
    int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Socket() {
    if (fd_ >= 0) close(fd_);
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  static std::unique_ptr<Socket> Connect(const Address& address, int timeout_ms = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = ToSockaddr(address);
    timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      close(fd);
      return nullptr;
    }
    limit = {30, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    return std::make_unique<Socket>(fd);
  }

  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads one message; nullopt when the connection ends or `timeout_ms` passes before its end.
  std::optional<Message> Read(int timeout_ms) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return std::nullopt;
    }
    Message message;
    std::size_t at = buffer_.find("\r\n");
    message.first = buffer_.substr(0, at);
    while (at < end) {
      const std::size_t start = at + 2;
      at = buffer_.find("\r\n", start);
      const std::size_t colon = buffer_.find(':', start);
      std::string name = buffer_.substr(start, colon - start);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      std::size_t value = colon + 1;
      while (buffer_[value] == ' ') ++value;
      message.headers[name] = buffer_.substr(value, at - value);
    }
    buffer_.erase(0, end + 4);
    const std::size_t length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(until)) return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

  /// True once the peer has closed the connection; reads nothing.
  bool IsClosedByPeer() const {
    char c = 0;
    return recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  bool HasBuffered() const { return !buffer_.empty(); }
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }
  /// "closed" or "reset" after Read has failed for another reason than time.
  const char* end() const { return end_; }

 private:
  bool Fill(Clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd entry{fd_, POLLIN, 0};
    end_ = "timed out";
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) return false;
    char buf[65536];
    const ssize_t n = recv(fd_, buf, sizeof buf, 0);
    if (n <= 0) {
      end_ = n == 0 ? "closed" : "reset";
      return false;
    }
    buffer_.append(buf, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
  const char* end_ = "";
};

/// Accepts connections and serves each on a thread of its own. The threads end with the process.
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Socket>)>;

  Listener(const Address& address, Serve serve) : address_(address), serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = ToSockaddr(address);
    socklen_t size = sizeof at;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd_, 512) != 0) {
      std::cerr << "cannot listen on " << address.Text() << "\n";
      std::exit(2);
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    address_.port = ntohs(at.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  const Address& address() const { return address_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, s = std::make_shared<Socket>(fd)] { serve_(s); }).detach();
    }
  }

  int fd_ = -1;
  Address address_;
  Serve serve_;
};

inline std::string Response(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store (PROTOCOL.md, "The platform's metadata store").
class Store {
 public:
  explicit Store(const std::string& ip)
      : listener_({ip, 0}, [this](const std::shared_ptr<Socket>& s) { Serve(s); }) {}

  const Address& address() const { return listener_.address(); }

  std::uint64_t Put(const std::string& key, const std::string& value, std::uint64_t lease = 0) {
    const std::lock_guard lock(mutex_);
    return PutLocked(key, value, lease);
  }
  /// Returns when the deletion is acknowledged.
  void Delete(const std::string& key) {
    const std::lock_guard lock(mutex_);
    DeleteLocked(key);
  }
  /// Cuts the watches that are waiting now. Returns their number.
  std::size_t CutWatches() {
    const std::lock_guard lock(mutex_);
    for (Socket* it : waiting_) it->Shutdown();
    return waiting_.size();
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_deleted = false;
  };

  static Json ToJson(const Event& it) {
    if (it.is_deleted) return {{"key", it.key}, {"revision", it.revision}, {"deleted", true}};
    return {{"key", it.key},
            {"value", Base64(it.value)},
            {"revision", it.revision},
            {"lease", 0},
            {"createRevision", it.revision}};
  }

  std::uint64_t PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
    items_[key] = {value, ++revision_, lease};
    history_.push_back({key, value, revision_, false});
    changed_.notify_all();
    return revision_;
  }
  void DeleteLocked(const std::string& key) {
    if (items_.erase(key) == 0) return;
    history_.push_back({key, "", ++revision_, true});
    changed_.notify_all();
  }

  static std::string Parameter(const std::string& target, const std::string& name) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t end = target.find('&', at + 1);
      const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (pair.compare(0, name.size() + 1, name + "=") == 0) return pair.substr(name.size() + 1);
      at = end;
    }
    return "";
  }

  void Serve(const std::shared_ptr<Socket>& s) {
    while (const auto request = s->Read(600000)) {
      SleepMs(4);
      const std::string answer = Answer(*s, *request);
      if (answer.empty() || !s->Send(answer)) return;
    }
  }

  static std::string JsonResponse(int status, const Json& body) {
    return Response(status, "Content-Type: application/json\r\n", body.dump());
  }

  std::string Answer(Socket& s, const Message& request) {
    const std::string target = request.Word(1);
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    if (path == "/kv-range") {
      const std::string prefix = Parameter(target, "pathPrefix");
      const std::string after = Parameter(target, "after");
      Json items = Json::array();
      for (const auto& [key, item] : items_) {
        if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) continue;
        items.push_back(ToJson({key, item.value, item.revision, false}));
      }
      return JsonResponse(200, {{"items", items}, {"truncated", false}, {"asOf", revision_}});
    }
    if (path == "/kv-watch") return Watch(s, target, lock);
    if (path == "/kv-txn") {
      const Json body = Json::parse(request.body);
      for (const Json& it : body.at("writes")) {
        PutLocked(it.at("key"), Unbase64(it.at("value")), it.value("lease", std::uint64_t{0}));
      }
      return JsonResponse(200, {{"revision", revision_}});
    }
    if (path == "/kv-lease") {
      return JsonResponse(200, {{"lease", ++last_lease_}, {"ttl_time", "30000ms"}});
    }
    if (path.compare(0, 9, "/kv-keep/") == 0) return JsonResponse(200, Json::object());
    if (path.compare(0, 14, "/kv-lease-end/") == 0) {
      const std::uint64_t lease = std::strtoull(path.c_str() + 14, nullptr, 10);
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_) {
        if (item.lease == lease) keys.push_back(key);
      }
      for (const std::string& it : keys) DeleteLocked(it);
      return JsonResponse(200, Json::object());
    }
    return Response(404, "", "");
  }

  std::string Watch(Socket& s, const std::string& target, std::unique_lock<std::mutex>& lock) {
    const std::string prefix = Parameter(target, "pathPrefix");
    const std::uint64_t after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const long wait = std::strtol(Parameter(target, "waitMs").c_str(), nullptr, 10);
    const auto until = Clock::now() + milliseconds(wait);
    waiting_.insert(&s);
    Json events = Json::array();
    while (true) {
      for (const Event& it : history_) {
        const bool is_match = it.key.compare(0, prefix.size(), prefix) == 0;
        if (it.revision > after && is_match) events.push_back(ToJson(it));
      }
      if (!events.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) break;
    }
    waiting_.erase(&s);
    return JsonResponse(200, {{"events", events}, {"asOf", revision_}});
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::set<Socket*> waiting_;
  Listener listener_;
};

/// When a worker has begun a request, and when it has sent the answer (-1: never).
struct Run {
  std::string id;
  std::string worker;
  double from = 0;
  double to = -1;
};

/// A worker (PROTOCOL.md, "Workers"). It drops a request when its connection closes.
class Worker {
 public:
  /// The body of the answer to a request; nullopt if the request runs and its answer is lost.
  using Body = std::function<std::optional<std::string>(const Message&)>;

  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 8;
    double work_ms = 200;
    /// Additional bytes after a complete answer, drawn for each answer; mostly empty. They come
    /// late, when the next answer on the connection is expected.
    std::function<std::string()> extra = [] { return std::string(); };
    Body body = [](const Message& request) {
      return "answer to " + request.Header("x-attempt-id");
    };
  };

  Worker(const std::string& ip, Options options, Record& record)
      : options_(std::move(options)),
        record_(record),
        listener_({ip, 0}, [this](const std::shared_ptr<Socket>& s) { Serve(s); }) {}

  const Options& options() const { return options_; }
  std::string Key() const { return "servers/" + options_.id; }
  std::string Entry(int sequence, bool is_draining = false) const {
    return Json{{"service", options_.service},
                {"address", listener_.address().Text()},
                {"zone", options_.zone},
                {"configVersion", "v1"},
                {"maxConcurrency", options_.slots},
                {"state", is_draining ? "draining" : "ready"},
                {"coldRemaining", "0ms"},
                {"sequence", sequence},
                {"born", 1764900000000}}
        .dump();
  }
  std::vector<Run> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  void Serve(const std::shared_ptr<Socket>& s) {
    std::string late;
    while (const auto request = s->Read(10000)) {
      if (request->Word(1) == "/healthz") {
        if (!s->Send(Response(200, "X-Instance-Id: " + options_.id + "\r\n", ""))) return;
        continue;
      }
      const std::string id = request->Header("x-attempt-id");
      const std::string expected = request->Header("x-expected-instance");
      if (!expected.empty() && expected != options_.id) {
        if (!s->Send(Response(421, "X-Instance-Id: " + options_.id + "\r\n", ""))) return;
        continue;
      }
      if (running_.fetch_add(1) >= options_.slots) {
        running_.fetch_sub(1);
        if (!s->Send(Response(503, "X-Not-Executed: 1\r\n", ""))) return;
        continue;
      }
      std::size_t n = 0;
      {
        const std::lock_guard lock(mutex_);
        n = runs_.size();
        runs_.push_back({id, options_.id, NowMs(), -1});
      }
      record_.Add(options_.id + " runs " + id + ", body of " +
                  std::to_string(request->body.size()) + " bytes");
      if (!late.empty()) {
        record_.Add(options_.id + " sends additional bytes of its last answer");
        if (!s->Send(std::exchange(late, ""))) return;
      }
      const auto body = options_.body(*request);
      const double end = NowMs() + options_.work_ms;
      bool is_dropped = false;
      while (NowMs() < end && !is_dropped) {
        SleepMs(std::min(5.0, end - NowMs()));
        is_dropped = s->IsClosedByPeer();
      }
      running_.fetch_sub(1);
      if (is_dropped) {
        record_.Add(options_.id + " drops " + id + ": its connection was closed");
        return;
      }
      if (!body) {
        record_.Add(options_.id + " has run " + id + ", its answer is lost");
        while (!s->IsClosedByPeer()) SleepMs(20);
        return;
      }
      {
        const std::lock_guard lock(mutex_);
        runs_[n].to = NowMs();
      }
      record_.Add(options_.id + " answers " + id);
      const std::string headers =
          "X-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + id +
          "\r\nKeep-Alive: timeout=10\r\nX-Server-Load: " + std::to_string(running_.load()) +
          ",0," + std::to_string(options_.slots) + "\r\n";
      if (!s->Send(Response(200, headers, *body))) return;
      late = options_.extra();
    }
  }

  Options options_;
  Record& record_;
  std::atomic<int> running_{0};
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  Listener listener_;
};

/// An entry host: `target/mangonotch edge` with the path of its settings in MANGONOTCH_SETTINGS.
class Host {
 public:
  struct Options {
    std::string name;
    std::string ip;
    std::string zone;
    std::string folder;
    Address store;
    std::vector<std::string> seeds;
    std::vector<std::pair<std::string, std::string>> zones;
    int port = 0;
  };

  explicit Host(Options options) : options_(std::move(options)) {}
  ~Host() { Kill(); }

  Address callers() const { return {options_.ip, options_.port}; }
  Address readiness() const { return {options_.ip, options_.port + 1}; }
  Address lookup() const { return {options_.ip, options_.port + 2}; }
  const Options& options() const { return options_; }
  pid_t pid() const { return pid_; }

  /// The fields of deploy/settings.jsonc.template with the figures of SYSTEM.md.
  void Start(const std::string& bounds) {
    std::string region;
    Json zones = Json::array();
    for (const auto& [zone, of] : options_.zones) {
      zones.push_back({{"zone", zone}, {"region", of}});
      if (zone == options_.zone) region = of;
    }
    const auto at = [&](int n) { return options_.ip + ":" + std::to_string(options_.port + n); };
    Json seeds = Json::array();
    for (const std::string& it : options_.seeds) {
      seeds.push_back(it + ":" + std::to_string(options_.port + 4));
    }
    const Json settings = {{"host", options_.name},
                           {"region", region},
                           {"zone", options_.zone},
                           {"listen",
                            {{"callers", at(0)},
                             {"readiness", at(1)},
                             {"lookup", at(2)},
                             {"peers", at(3)},
                             {"metrics", at(4)}}},
                           {"zones", zones},
                           {"seeds", seeds},
                           {"store", options_.store.Text()},
                           {"bounds", Json::parse(bounds)},
                           {"link_mbps", "1000.0"},
                           {"first_start", true},
                           {"descriptors", 4100}};
    const std::string path = options_.folder + "/" + options_.name + ".jsonc";
    std::ofstream(path) << settings.dump(2);
    const std::string log = options_.folder + "/" + options_.name + ".log";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // It ends with this program in any case.
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("MANGONOTCH_SETTINGS", path.c_str(), 1);
      execl("target/mangonotch", "target/mangonotch", "edge", nullptr);
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
  }
  /// Waits for the end of the process; false when it still runs after `timeout_ms`.
  bool Wait(int timeout_ms) {
    const double until = NowMs() + timeout_ms;
    while (pid_ > 0) {
      if (waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
      if (pid_ < 0) return true;
      if (NowMs() > until) return false;
      SleepMs(20);
    }
    return true;
  }
  void Kill() {
    Signal(SIGKILL);
    Wait(5000);
  }
  /// A figure of the metrics that the process serves; empty if it does not answer.
  std::string Metric(const std::string& name) const {
    const auto s = Socket::Connect({options_.ip, options_.port + 4}, 300);
    if (!s || !s->Send("GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")) return "";
    const auto answer = s->Read(1000);
    if (!answer) return "";
    const std::size_t at = answer->body.find("\n" + name + " ");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 2;
    return answer->body.substr(from, answer->body.find('\n', from) - from);
  }
  bool IsReady() const {
    const auto s = Socket::Connect(readiness(), 300);
    if (!s || !s->Send("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")) return false;
    const auto answer = s->Read(500);
    return answer && answer->Status() == 200;
  }

 private:
  Options options_;
  pid_t pid_ = -1;
};

/// A loopback network of this process, 127.A.B.0/24, on which a few ports from `port` on are free.
struct Network {
  std::string prefix;
  int port = 0;
  std::string Ip(int n) const { return prefix + std::to_string(n); }

  static Network Make() {
    for (int i = 0; i < 200; ++i) {
      const unsigned seed =
          static_cast<unsigned>(getpid()) * 31U + static_cast<unsigned>(i) * 7919U;
      Network network{"127." + std::to_string(20 + seed % 200) + "." +
                          std::to_string(1 + seed / 200 % 250) + ".",
                      21000 + static_cast<int>(seed % 900) * 10};
      bool is_free = true;
      for (int n = 0; n < 5 && is_free; ++n) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = ToSockaddr({network.Ip(11), network.port + n});
        is_free = bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
        close(fd);
      }
      if (is_free) return network;
    }
    std::cerr << "no free ports\n";
    std::exit(2);
  }
};

struct RouteSpec {
  std::string prefix;
  std::string service;
  bool is_idempotent = true;
  int timeout_ms = 3000;
  int target_latency_ms = 400;
};

inline std::string Configuration(const std::string& version, const std::string& host,
                                 const std::vector<RouteSpec>& routes,
                                 std::uint64_t max_body_bytes = 67108864) {
  Json rules = Json::array();
  std::set<std::string> names;
  for (const RouteSpec& it : routes) {
    names.insert(it.service);
    rules.push_back({{"name", "r-" + it.prefix.substr(1, it.prefix.size() - 2)},
                     {"pathPrefix", it.prefix},
                     {"type", it.is_idempotent ? "idempotent" : "non_idempotent"},
                     {"timeout", std::to_string(it.timeout_ms) + "ms"},
                     {"targetLatency", std::to_string(it.target_latency_ms) + "ms"},
                     {"priority", 1},
                     {"service", it.service},
                     {"maxAttempts", 2},
                     {"sessionAffinity", false},
                     {"allowedRegions", Json::array()}});
  }
  Json services = Json::array();
  for (const std::string& it : names) {
    services.push_back({{"name", it},
                        {"healthPath", "/healthz"},
                        {"maxConnections", 330},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"coldStart", "3s"},
                        {"coldPerS", 9.1}});
  }
  return Json{{"configVersion", version},
              {"services", services},
              {"limits",
               {{"maxHeaderBytes", 16384},
                {"maxBodyBytes", max_body_bytes},
                {"headerTimeout", "3000ms"},
                {"idleTimeout", "15000ms"}}},
              {"virtualHosts", {{{"host", host}, {"pathRules", rules}}}}}
      .dump();
}

/// The bounds of gyaszvarro in SYSTEM.md.
inline const char* const kBounds =
    R"({"retry_ratio":"0.2","retry_window":"10s","retry_allowance":"58","stop_time":"6s","lookup_ttl":"5s"})";

/// Ends the program with status 2 when it has run for `seconds`.
inline void LimitTime(unsigned seconds) {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGALRM, [](int) { _exit(2); });
  alarm(seconds);
}

inline bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline std::string MakeFolder() {
  char path[] = "/tmp/review-XXXXXX";
  if (mkdtemp(path) == nullptr) std::exit(2);
  return path;
}

/// Waits until all hosts say that they are ready; false after `timeout_ms`.
inline bool WaitUntilReady(const std::vector<std::unique_ptr<Host>>& hosts, int timeout_ms) {
  const double until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    const bool all =
        std::all_of(hosts.begin(), hosts.end(), [](const auto& it) { return it->IsReady(); });
    if (all) return true;
    SleepMs(100);
  }
  return false;
}

}  // namespace review
