// The small deployment that most cases use: a store, workers of two services, two entry hosts, and
// clients with kept connections.
#pragma once

#include "kit.h"

namespace review {

inline constexpr int kRouteTimeoutMs = 1500;

/// `/state/` is idempotent and goes to the service `states`, `/order/` is non_idempotent and goes
/// to `orders`.
class Deployment {
 public:
  explicit Deployment(const std::string& record_path, int work_ms = 20, int order_workers = 5)
      : record(*new Record(record_path)), store(*new Store), work_ms_(work_ms) {
    for (const char* id : {"i-s1", "i-s2"}) AddWorker(id, "states");
    for (int i = 1; i <= order_workers; ++i) AddWorker("i-o" + std::to_string(i), "orders");
    PutConfiguration(7);
  }
  ~Deployment() {
    is_ended_ = true;
    if (heartbeat_.joinable()) heartbeat_.join();
  }

  Json Configuration(int version) const {
    return ConfigurationOf(version,
                           {RouteOf("/state/", "idempotent", "states", kRouteTimeoutMs, 500),
                            RouteOf("/order/", "non_idempotent", "orders", kRouteTimeoutMs, 500)},
                           {"states", "orders"});
  }
  void PutConfiguration(int version) { store.Put("op/config", Configuration(version).dump()); }

  /// Starts the hosts and waits until they are ready and the workers no longer count as cold.
  bool Start() {
    const std::string net = "127." + std::to_string(20 + getpid() % 200) + ".0.";
    const int peers = FreePeersPort({net + "1", net + "2"});
    for (const char* number : {"1", "2"}) {
      hosts.push_back(std::make_unique<EdgeHost>(std::string("edge-") + number, net + number, peers,
                                                 store.port(), net + "1", 260, temporary.path));
    }
    heartbeat_ = std::thread([this] { Heartbeat(); });
    for (const auto& it : hosts) {
      if (it->WaitReady(15000)) continue;
      record.Say("a host is not ready");
      return false;
    }
    Sleep(3000);
    return true;
  }

  /// Waits until the workers have written their entries the next time.
  void WaitForHeartbeat() const {
    const int before = heartbeats_;
    while (heartbeats_ == before) Sleep(5);
  }

  /// Waits for the worker's next heartbeat, whose call gets no answer and isn't done yet. Returns
  /// the entry, and in `at` the time of the call.
  std::string LoseHeartbeat(const std::string& id, Clock::time_point& at) {
    {
      const std::lock_guard lock(mutex_);
      loses_beat_of_ = id;
      lost_entry_.clear();
    }
    while (true) {
      Sleep(5);
      const std::lock_guard lock(mutex_);
      if (lost_entry_.empty()) continue;
      at = lost_at_;
      return lost_entry_;
    }
  }

  /// Runs of each request over all workers.
  std::map<std::string, int> Runs() const {
    std::map<std::string, int> sum;
    for (const Worker* worker : workers) {
      for (const auto& [id, n] : worker->Runs()) sum[id] += n;
    }
    return sum;
  }
  Worker& worker(const std::string& id) {
    for (Worker* it : workers) {
      if (it->options.id == id) return *it;
    }
    std::abort();
  }

  TemporaryFolder temporary;
  // Never freed: their threads end with the process.
  Record& record;
  Store& store;
  std::vector<Worker*> workers;
  std::vector<std::unique_ptr<EdgeHost>> hosts;

 private:
  void AddWorker(const std::string& id, const std::string& service) {
    workers.push_back(new Worker(
        {.id = id, .service = service, .zone = "alfold-a", .slots = 8, .work_ms = work_ms_},
        record));
    store.Put("servers/" + id, workers.back()->Entry().dump());
  }
  /// Each worker writes its entry every 1.5 s, as the settings say.
  void Heartbeat() {
    for (auto next = Clock::now(); !is_ended_; next += milliseconds(1500)) {
      while (!is_ended_ && Clock::now() < next) Sleep(10);
      for (Worker* const it : workers) {
        if (it->has_ended) continue;
        const std::string entry = it->Entry().dump();
        const std::lock_guard lock(mutex_);
        if (it->options.id == loses_beat_of_) {
          loses_beat_of_.clear();
          lost_entry_ = entry;
          lost_at_ = Clock::now();
        } else {
          store.Put("servers/" + it->options.id, entry);
        }
      }
      ++heartbeats_;
    }
  }

  const int work_ms_;
  std::mutex mutex_;
  std::string loses_beat_of_;
  std::string lost_entry_;
  Clock::time_point lost_at_;
  std::atomic<int> heartbeats_ = 0;
  std::atomic<bool> is_ended_ = false;
  std::thread heartbeat_;
};

/// One client with a kept connection, which connects again when it has to.
class Client {
 public:
  Client(const EdgeHost& host, Record& record) : host_(host), record_(record) {}
  ~Client() { Leave(); }

  /// Sends a request and returns the status of its answer; 0 without one.
  int Ask(const std::string& method, const std::string& path, const std::string& id,
          const std::string& body = "") {
    if (fd_ < 0) {
      fd_ = Connect(host_.ip, host_.callers);
      reader_ = std::make_unique<Reader>(fd_);
    }
    const std::string length =
        method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    answer = Message();
    Reader::End result = Reader::End::kClosed;
    if (SendAll(fd_, MakeRequest(method, path, id, kRouteTimeoutMs, length) + body)) {
      result = reader_->Read(answer, kRouteTimeoutMs + 500);
    }
    const int status = result == Reader::End::kWhole ? answer.Status() : 0;
    record_.Line("sent " + method + " " + path + " id=" + id + " answered " +
                 std::to_string(status));
    if (status == 0 || answer.Header("Connection") == "close") Leave();
    return status;
  }
  void Leave() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  Message answer;

 private:
  const EdgeHost& host_;
  Record& record_;
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

}  // namespace review
