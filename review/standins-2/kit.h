// Stand-ins for the second review: the platform's store, workers, clients, and entry hosts as
// separate processes. Plain blocking sockets and threads, so that a case decides every byte.
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

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline void Sleep(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// True unless the case runs with TROUBLE=0.
inline bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

/// Writes record.txt: each line with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
    out_ << ms << " " << text << std::endl;
  }
  /// Also on standard output.
  void Say(const std::string& text) {
    Line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
  std::ofstream out_;
};

// Sockets.

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Listens on `ip`; `port` 0 takes a free one and is set to it. -1 on failure.
inline int Listen(const std::string& ip, int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

/// -1 on failure. `receive_buffer` bounds what the kernel takes in before the program reads it.
inline int Connect(const std::string& ip, int port, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

inline bool IsReadable(int fd, int wait_ms) {
  pollfd entry{.fd = fd, .events = POLLIN, .revents = 0};
  return poll(&entry, 1, wait_ms) > 0;
}

struct Message {
  /// Request line or status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return {};
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/// Reads messages from a socket; what has come and isn't used yet stays in `buffer`.
class Reader {
 public:
  enum class End { kWhole, kClosed, kTimeout, kMalformed };

  explicit Reader(int fd) : fd_(fd) {}

  /// `wait_ms` < 0: no limit.
  End ReadHead(Message& message, int wait_ms = -1) {
    const auto deadline = Clock::now() + milliseconds(wait_ms < 0 ? 1 << 30 : wait_ms);
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (const End result = Fill(deadline); result != End::kWhole) return result;
    }
    message = Message();
    std::istringstream lines(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (message.start.empty()) {
        message.start = line;
        continue;
      }
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) return End::kMalformed;
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      message.headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return End::kWhole;
  }

  /// The body by its Content-Length; none without one.
  End ReadBody(Message& message, int wait_ms = -1) {
    const auto deadline = Clock::now() + milliseconds(wait_ms < 0 ? 1 << 30 : wait_ms);
    const auto size =
        static_cast<std::size_t>(std::atoll(message.Header("Content-Length").c_str()));
    while (buffer.size() < size) {
      if (const End result = Fill(deadline); result != End::kWhole) return result;
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return End::kWhole;
  }

  End Read(Message& message, int wait_ms = -1) {
    const End result = ReadHead(message, wait_ms);
    return result == End::kWhole ? ReadBody(message, wait_ms) : result;
  }

  std::string buffer;

 private:
  End Fill(Clock::time_point deadline) {
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    if (left <= 0 || !IsReadable(fd_, static_cast<int>(std::min<long long>(left, 1 << 30)))) {
      return End::kTimeout;
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) return End::kClosed;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return End::kWhole;
  }

  int fd_;
};

inline std::string MakeResponse(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own. The threads end with the process.
class Listener {
 public:
  Listener(const std::string& ip, int port, std::function<void(int fd)> serve) : port_(port) {
    const int fd = Listen(ip, port_);
    if (fd < 0) {
      std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
      _exit(kNotRun);
    }
    fd_ = fd;
    std::thread([fd, serve = std::move(serve)] {
      while (true) {
        const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) return;
        const int on = 1;
        setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([peer, serve] {
          serve(peer);
          close(peer);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  void Stop() { shutdown(fd_, SHUT_RDWR); }

 private:
  int port_;
  int fd_ = -1;
};

// The store.

inline std::string Base64(std::string_view bytes) {
  static const char* const alphabet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : bytes) {
    group = group << 8 | static_cast<unsigned char>(c);
    for (bits += 8; bits >= 6; bits -= 6) text += alphabet[group >> (bits - 6) & 63];
  }
  if (bits > 0) text += alphabet[group << (6 - bits) & 63];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

/// Keys, revisions, leases and watches as PROTOCOL.md describes them. Keeps all of its history.
class Store {
 public:
  Store() : listener_("127.0.0.1", 0, [this](int fd) { Serve(fd); }) {}
  int port() const { return listener_.port(); }

  void Put(const std::string& key, const std::string& value) { PutEncoded(key, Base64(value), 0); }
  void Delete(const std::string& key) {
    const std::lock_guard lock(mutex_);
    DeleteLocked(key);
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Clock::time_point end;
    std::int64_t ttl_ms = 0;
  };

  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos) return {};
    std::istringstream pairs(target.substr(query + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      if (pair.rfind(name + "=", 0) == 0) return Decode(pair.substr(name.size() + 1));
    }
    return {};
  }

  void PutEncoded(const std::string& key, const std::string& value, std::uint64_t lease) {
    const std::lock_guard lock(mutex_);
    PutLocked(key, value, lease);
  }
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
    Item& item = items_[key];
    item = {value, ++revision_, item.created != 0 ? item.created : revision_, lease};
    history_.push_back(RowOf(key, item));
    changed_.notify_all();
  }
  void DeleteLocked(const std::string& key) {
    if (items_.erase(key) == 0) return;
    history_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
    changed_.notify_all();
  }
  static Json RowOf(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"createRevision", item.created},
            {"lease", item.lease}};
  }
  void EndLeaseLocked(std::uint64_t lease) {
    leases_.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) keys.push_back(key);
    }
    for (const std::string& key : keys) DeleteLocked(key);
  }
  void ExpireLocked() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (lease.end <= Clock::now()) ended.push_back(id);
    }
    for (const std::uint64_t id : ended) EndLeaseLocked(id);
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(request) == Reader::End::kWhole) {
      Sleep(4);
      const auto [status, body] = Answer(request);
      const std::string text =
          MakeResponse(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body.dump());
      if (!SendAll(fd, text)) return;
    }
  }

  std::pair<int, Json> Answer(const Message& request) {
    const std::string target = request.Target();
    const std::string path = target.substr(0, target.find('?'));
    std::unique_lock lock(mutex_);
    ExpireLocked();
    if (path == "/kv-range") {
      const std::string prefix = Parameter(target, "pathPrefix");
      const std::string after = Parameter(target, "after");
      Json rows = Json::array();
      for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) == 0 && key > after) rows.push_back(RowOf(key, item));
      }
      return {200, {{"items", rows}, {"truncated", false}, {"asOf", revision_}}};
    }
    if (path == "/kv-watch") {
      const std::string prefix = Parameter(target, "pathPrefix");
      const auto after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
      const auto until =
          Clock::now() + milliseconds(std::atoi(Parameter(target, "waitMs").c_str()));
      Json rows = Json::array();
      while (true) {
        for (const Json& it : history_) {
          const bool is_new = it["revision"].get<std::uint64_t>() > after;
          if (is_new && it["key"].get<std::string>().rfind(prefix, 0) == 0) rows.push_back(it);
        }
        if (!rows.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) break;
      }
      return {200, {{"events", rows}, {"asOf", revision_}}};
    }
    if (path == "/kv-lease") {
      const std::string ttl = Json::parse(request.body).at("ttl_time").get<std::string>();
      const std::int64_t ms = std::atoll(ttl.c_str());
      leases_[++last_lease_] = {Clock::now() + milliseconds(ms), ms};
      return {200, {{"lease", last_lease_}, {"ttl_time", ttl}}};
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto lease = leases_.find(std::strtoull(path.c_str() + 9, nullptr, 10));
      if (lease == leases_.end()) return {404, Json::object()};
      lease->second.end = Clock::now() + milliseconds(lease->second.ttl_ms);
      return {200, {{"ttl_time", std::to_string(lease->second.ttl_ms) + "ms"}}};
    }
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      EndLeaseLocked(std::strtoull(path.c_str() + 14, nullptr, 10));
      return {200, Json::object()};
    }
    if (path == "/kv-txn") {
      const Json body = Json::parse(request.body);
      for (const Json& it : body.at("expect")) {
        const auto item = items_.find(it.at("key").get<std::string>());
        const std::uint64_t revision = item == items_.end() ? 0 : item->second.revision;
        if (revision != it.at("revision").get<std::uint64_t>())
          return {412, {{"items", Json::array()}}};
      }
      for (const Json& it : body.at("writes")) {
        const std::uint64_t lease = it.value("lease", std::uint64_t{0});
        if (lease != 0 && leases_.count(lease) == 0) return {404, Json::object()};
      }
      for (const Json& it : body.at("writes")) {
        PutLocked(it.at("key").get<std::string>(), it.at("value").get<std::string>(),
                  it.value("lease", std::uint64_t{0}));
      }
      for (const Json& it : body.at("deleteKeys")) DeleteLocked(it.get<std::string>());
      return {200, {{"revision", revision_}}};
    }
    return {404, Json::object()};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::uint64_t last_lease_ = 1000;
  std::map<std::string, Item> items_;
  std::vector<Json> history_;
  std::map<std::uint64_t, Lease> leases_;
  Listener listener_;
};

// Workers.

/// A worker as PROTOCOL.md describes it. A case changes what it does by `answer`.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    int slots = 4;
    int work_ms = 20;
  };
  /// What becomes of a request that has run, instead of the usual answer; false ends the
  /// connection. `text`: the usual answer.
  using Send = std::function<bool(int fd, const Message& request, const std::string& text)>;

  Worker(Options options, Record& record)
      : options(std::move(options)),
        record_(record),
        listener_("127.0.0.1", 0, [this](int fd) { Serve(fd); }) {}

  std::string Address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  /// What the worker writes of itself into the store.
  Json Entry() const {
    const char* const state = is_leaving ? "draining" : "ready";
    return {{"service", options.service},
            {"address", Address()},
            {"zone", options.zone},
            {"configVersion", "v1"},
            {"maxConcurrency", options.slots},
            {"state", state},
            {"coldRemaining", "0ms"},
            {"sequence", ++sequence_},
            {"born", born_}};
  }
  /// When each run began, by the request's id; the first one of several.
  std::map<std::string, Clock::time_point> Starts() const {
    const std::lock_guard lock(mutex_);
    return starts_;
  }
  /// The process ends: its address refuses connections, and those that are open are reset.
  void End() {
    has_ended = true;
    listener_.Stop();
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  /// Runs of each request, by its id.
  std::map<std::string, int> Runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

  const Options options;
  /// Says so in its entry and in all its answers.
  std::atomic<bool> is_leaving = false;
  std::atomic<bool> has_ended = false;
  /// Called with the head of each request, before its body is read.
  std::function<void(int fd, const Message& head)> on_head;
  Send send;
  /// The body of the answer to a request.
  std::function<std::string(const Message& request)> body = [](const Message& request) {
    return "whole answer to " + request.Header("X-Attempt-Id");
  };

 private:
  void Serve(int fd) {
    {
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
    }
    Answer(fd);
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
  }

  void Answer(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.ReadHead(request) == Reader::End::kWhole && !has_ended) {
      if (on_head) on_head(fd, request);
      if (reader.ReadBody(request) != Reader::End::kWhole) return;
      if (request.Target() == "/healthz") {
        if (!SendAll(fd, MakeResponse(200, "X-Instance-Id: " + options.id + "\r\n", ""))) return;
        continue;
      }
      if (request.Header("X-Expected-Instance") != options.id) {
        if (!SendAll(fd, MakeResponse(421, "X-Instance-Id: " + options.id + "\r\n", ""))) return;
        continue;
      }
      const std::string id = request.Header("X-Attempt-Id");
      if (++running_ > options.slots) {
        --running_;
        if (!SendAll(fd, MakeResponse(503, "X-Not-Executed: 1\r\n", ""))) return;
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        ++runs_[id];
        starts_.emplace(id, Clock::now());
      }
      record_.Line("run worker=" + options.id + " service=" + options.service + " id=" + id + " " +
                   request.Method() + " " + request.Target());
      Sleep(options.work_ms);
      const int running = --running_;
      const std::string text = MakeResponse(
          200,
          "X-Attempt-Id: " + id + "\r\nX-Response-Signature: " + Signature(id) +
              "\r\nX-Server-Load: " + std::to_string(running) + ",0," +
              std::to_string(options.slots) + (is_leaving ? "\r\nServer-Leaving: 1\r\n" : "\r\n"),
          body(request));
      if (send ? !send(fd, request, text) : !SendAll(fd, text)) return;
    }
  }

 public:
  static std::string Signature(const std::string& id) { return "sig-" + id; }

 private:
  Record& record_;
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, Clock::time_point> starts_;
  std::set<int> open_;
  std::atomic<int> running_ = 0;
  mutable std::atomic<int> sequence_ = 0;
  const std::int64_t born_ =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count();
  Listener listener_;
};

// Configuration.

inline Json RouteOf(const std::string& prefix, const std::string& type, const std::string& service,
                    int timeout_ms, int latency_ms) {
  return {{"name", "r" + prefix.substr(1, prefix.size() - 2)},
          {"pathPrefix", prefix},
          {"type", type},
          {"timeout", std::to_string(timeout_ms) + "ms"},
          {"targetLatency", std::to_string(latency_ms) + "ms"},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2},
          {"sessionAffinity", false},
          {"allowedRegions", Json::array()}};
}

inline constexpr const char* kHostName = "orders.example";

inline Json ConfigurationOf(int version, const std::vector<Json>& routes,
                            const std::vector<std::string>& services) {
  char text[16];
  std::snprintf(text, sizeof(text), "%08x", version);
  Json rows = Json::array();
  for (const std::string& it : services) {
    rows.push_back({{"name", it},
                    {"healthPath", "/healthz"},
                    {"maxConnections", 330},
                    {"protocol", "h1"},
                    {"tls", false},
                    {"coldStart", "3s"},
                    {"coldPerS", 9.1}});
  }
  return {{"configVersion", text},
          {"services", rows},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 67108864},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"virtualHosts", {{{"host", kHostName}, {"pathRules", routes}}}}};
}

// Entry hosts.

/// One entry host, started with the command of deploy/system.toml. Ends with this object.
class EdgeHost {
 public:
  /// `ip`: a loopback address of its own. `peers`: the same port on all hosts.
  EdgeHost(const std::string& name, const std::string& ip, int peers, int store_port,
           const std::string& seed_ip, int memory_mb, const std::string& folder)
      : ip(ip) {
    callers = FreePort();
    readiness = FreePort();
    lookup = FreePort();
    const int metrics = FreePort();
    const std::string settings_path = folder + "/" + name + ".jsonc";
    const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
    const Json settings = {{"host", name},
                           {"region", "alfold"},
                           {"zone", "alfold-a"},
                           {"listen",
                            {{"callers", at(callers)},
                             {"readiness", at(readiness)},
                             {"lookup", at(lookup)},
                             {"peers", at(peers)},
                             {"metrics", at(metrics)}}},
                           {"zones", {{{"zone", "alfold-a"}, {"region", "alfold"}}}},
                           {"seeds", {seed_ip + ":" + std::to_string(peers)}},
                           {"store", "127.0.0.1:" + std::to_string(store_port)},
                           {"bounds",
                            {{"retry_ratio", "0.2"},
                             {"retry_window", "10s"},
                             {"retry_allowance", "58"},
                             {"stop_time", "6s"},
                             {"lookup_ttl", "5s"},
                             {"target_heartbeat", "1500ms"},
                             {"quota_window", ""},
                             {"quota_overage", ""},
                             {"quota_slack", ""}}},
                           {"link_mbps", "1000.0"},
                           {"memory_mb", std::to_string(memory_mb)},
                           {"first_start", true},
                           {"descriptors", 4100}};
    std::ofstream(settings_path) << settings.dump(1);
    const std::string log_path = folder + "/" + name + ".log";
    pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("MANGONOTCH_SETTINGS", settings_path.c_str(), 1);
      execl("target/mangonotch", "target/mangonotch", "edge", nullptr);
      _exit(127);
    }
  }
  ~EdgeHost() {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  EdgeHost(const EdgeHost&) = delete;
  EdgeHost& operator=(const EdgeHost&) = delete;

  /// A port that is free now on this host's address.
  int FreePort() const {
    int port = 0;
    close(Listen(ip, port));
    return port;
  }

  /// Waits until GET /ready is answered 200.
  bool WaitReady(int limit_ms) const {
    for (int waited = 0; waited < limit_ms; waited += 100) {
      const int fd = Connect(ip, readiness);
      if (fd >= 0) {
        SendAll(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        Message answer;
        const bool is_ready =
            Reader(fd).Read(answer, 1000) == Reader::End::kWhole && answer.Status() == 200;
        close(fd);
        if (is_ready) return true;
      }
      Sleep(100);
    }
    return false;
  }

  /// Memory in use now, in MB.
  long ResidentMb() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind("VmRSS:", 0) == 0) return std::atol(line.c_str() + 6) / 1024;
    }
    return 0;
  }

  std::string ip;
  int callers = 0;
  int readiness = 0;
  int lookup = 0;
  pid_t pid = -1;
};

/// A peers port that is free on all these addresses.
inline int FreePeersPort(const std::vector<std::string>& ips) {
  for (int tries = 0; tries < 50; ++tries) {
    int port = 0;
    std::vector<int> open;
    bool is_free = true;
    for (const std::string& it : ips) {
      const int fd = Listen(it, port);
      is_free = is_free && fd >= 0;
      if (fd >= 0) open.push_back(fd);
    }
    for (const int fd : open) close(fd);
    if (is_free) return port;
  }
  return 0;
}

inline std::string MakeRequest(const std::string& method, const std::string& path,
                               const std::string& id, int timeout_ms,
                               const std::string& headers = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHostName + "\r\nX-Attempt-Id: " + id +
         "\r\nX-Timeout-Remaining: " + std::to_string(timeout_ms) + "\r\n" + headers + "\r\n";
}

/// Runs a case with the path of its record.txt as the only argument. Ends it after 110 seconds at
/// the latest, and the hosts with it.
inline int Main(int argc, char** argv, int (*run)(const std::string& record_path)) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 2) return kNotRun;
  alarm(110);
  return run(argv[1]);
}

/// A temporary folder; removed at the end unless KEEP is set.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char text[] = "/tmp/review-XXXXXX";
    path = mkdtemp(text);
  }
  ~TemporaryFolder() {
    if (std::getenv("KEEP") != nullptr) {
      std::printf("kept %s\n", path.c_str());
      return;
    }
    const std::string command = "rm -rf " + path;
    if (std::system(command.c_str()) != 0) std::printf("cannot remove %s\n", path.c_str());
  }
  std::string path;
};

}  // namespace review
