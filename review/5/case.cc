// The store cuts the watches that wait, as it may at any time, and just after that a worker's entry
// is removed. Checks that no request reaches that worker later than `drain` after the removal
// (DRAIN). No machine is cut off, and the store answers all calls.
#include <filesystem>
#include <random>

#include "../common/harness.h"

using namespace review;

namespace {

constexpr const char* kHost = "jepu9.example";
constexpr int kClients = 40;
constexpr int kWorkers = 12;
constexpr int kRemovals = 4;
constexpr double kDrainMs = 2000;
constexpr int kDeadlineMs = 4000;
/// From the cut of the watches to the removal.
constexpr double kRemovalDelayMs = 100;

std::atomic<bool> is_stopping{false};
std::atomic<int> sent{0};
std::atomic<int> served{0};

void RunClient(const std::vector<std::unique_ptr<Host>>& hosts, int number, Record& record) {
  std::mt19937 random(static_cast<unsigned>(number) + 1);
  std::unique_ptr<Socket> socket;
  SleepMs(random() % 600);
  for (int n = 0; !is_stopping; ++n) {
    if (!socket) socket = Socket::Connect(hosts[random() % hosts.size()]->callers());
    if (!socket) {
      SleepMs(100);
      continue;
    }
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(n);
    record.Add("client sends " + id);
    ++sent;
    socket->Send(std::string("POST /order/") + std::to_string(n) + " HTTP/1.1\r\nHost: " + kHost +
                 "\r\nX-Attempt-Id: " + id + "\r\nX-Timeout-Remaining: " +
                 std::to_string(kDeadlineMs) + "\r\nContent-Length: 4\r\n\r\nband");
    const auto answer = socket->Read(kDeadlineMs);
    record.Add("client has " + id + ": " + (answer ? answer->Word(1) : "no answer"));
    served += answer && answer->Status() == 200 ? 1 : 0;
    if (!answer || answer->Header("connection") == "close") socket.reset();
    SleepMs(200 + random() % 200);
  }
}

}  // namespace

int main(int argc, char** argv) {
  LimitTime(118);
  Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
  const std::string folder = MakeFolder();
  const Network network = Network::Make();
  Store store(network.Ip(1));
  store.Put("op/config",
            Configuration("00000007", kHost, {{"/order/", "rendeles", false, kDeadlineMs, 600}}));
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(
        std::make_unique<Worker>(network.Ip(100 + i),
                                 Worker::Options{.id = "i-" + std::to_string(i),
                                                 .service = "rendeles",
                                                 .zone = i % 2 == 0 ? "alfold-a" : "alfold-b",
                                                 .slots = 4,
                                                 .work_ms = 200},
                                 record));
    store.Put(workers.back()->Key(), workers.back()->Entry(1));
  }
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 3; ++i) {
    hosts.push_back(std::make_unique<Host>(
        Host::Options{.name = "edge-" + std::to_string(i),
                      .ip = network.Ip(11 + i),
                      .zone = i % 2 == 0 ? "alfold-a" : "alfold-b",
                      .folder = folder,
                      .store = store.address(),
                      .seeds = {network.Ip(11), network.Ip(12)},
                      .zones = {{"alfold-a", "alfold"}, {"alfold-b", "alfold"}},
                      .port = network.port}));
    hosts.back()->Start(kBounds);
  }
  if (!WaitUntilReady(hosts, 15000)) {
    std::cout << "the hosts did not become ready\n";
    return 2;
  }
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] { RunClient(hosts, i, record); });
  }
  SleepMs(6000);
  std::map<std::string, double> removed_at;
  for (int i = 0; i < kRemovals; ++i) {
    const Worker& worker = *workers[static_cast<std::size_t>(i)];
    if (HasTrouble()) {
      record.Add("the store cuts " + std::to_string(store.CutWatches()) + " waiting watches");
    }
    SleepMs(kRemovalDelayMs);
    store.Delete(worker.Key());
    removed_at[worker.options().id] = NowMs();
    record.Add("the store has removed the entry of " + worker.options().id);
    SleepMs(7000);
  }
  is_stopping = true;
  for (std::thread& it : threads) it.join();

  int late = 0;
  double latest = 0;
  for (const auto& it : workers) {
    const auto removed = removed_at.find(it->options().id);
    if (removed == removed_at.end()) continue;
    for (const Run& run : it->runs()) {
      const double after = run.from - removed->second;
      latest = std::max(latest, after);
      if (after <= kDrainMs) continue;
      ++late;
      record.Add("DRAIN " + run.id + ": reached " + run.worker + " " +
                 std::to_string(static_cast<int>(after)) + " ms after its entry was removed");
    }
  }
  const std::string summary = "sent " + std::to_string(sent) + ", served " +
                              std::to_string(served) + ", reached a removed worker after " +
                              std::to_string(static_cast<int>(kDrainMs)) + " ms " +
                              std::to_string(late) + ", the last one after " +
                              std::to_string(static_cast<int>(latest)) + " ms";
  record.Add(summary);
  std::cout << summary << "\n";
  hosts.clear();
  std::filesystem::remove_all(folder);
  std::fflush(stdout);
  if (served < 500) _exit(2);
  _exit(late > 0 ? 1 : 0);
}
