// The answer to a worker's heartbeat is lost, and the store carries the call out seconds later,
// when the worker has reported `draining`. The entry names an older `sequence` than the ones before
// it. Exit: 1 if a rule was broken, 0 if not, 2 if the case couldn't run.
#include "deployment.h"

namespace review {
namespace {

constexpr int kRounds = 3;
constexpr int kOrdersPerHost = 9;
/// From the call whose answer is lost: the worker's report, the late execution, the orders, its
/// end.
constexpr int kDrainingAtMs = 3100;
constexpr int kLateAtMs = 4600;
constexpr int kOrdersAtMs = 5200;
constexpr int kEndAtMs = 5900;
/// Of the site.
constexpr int kDrainMs = 2000;
/// The mean of the site's orders.
constexpr int kWorkMs = 700;

int Run(const std::string& record_path) {
  Deployment deployment(record_path, kWorkMs);
  Record& record = deployment.record;
  if (!deployment.Start()) return kNotRun;
  std::mutex mutex;
  std::map<std::string, int> answers;
  const auto send_orders = [&](const std::string& name) {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kOrdersPerHost * deployment.hosts.size(); ++i) {
      threads.emplace_back([&, i] {
        Client client(*deployment.hosts[i % deployment.hosts.size()], record);
        const std::string id = name + "-" + std::to_string(i);
        const int status = client.Ask("POST", "/order/" + id, id, "one band");
        const std::lock_guard lock(mutex);
        answers[id] = status;
      });
      Sleep(10);
    }
    for (std::thread& it : threads) it.join();
  };
  send_orders("first");
  int late = 0;
  int lost = 0;
  for (int round = 1; round <= kRounds; ++round) {
    const std::string id = "i-o" + std::to_string(round);
    const std::string key = "servers/" + id;
    Worker& worker = deployment.worker(id);
    Clock::time_point called_at;
    const std::string entry = deployment.LoseHeartbeat(id, called_at);
    record.Line("no answer to the heartbeat " + entry);
    const auto at = [&](int ms) { std::this_thread::sleep_until(called_at + milliseconds(ms)); };
    at(kDrainingAtMs);
    worker.is_leaving = true;
    deployment.store.Put(key, worker.Entry().dump());
    const Clock::time_point acknowledged_at = Clock::now();
    record.Line("acknowledged: " + id + " is draining");
    at(kLateAtMs);
    if (HasTrouble()) deployment.store.Put(key, entry);
    if (HasTrouble()) record.Line("the heartbeat without an answer is carried out");
    at(kOrdersAtMs);
    std::thread orders([&] { send_orders("round-" + std::to_string(round)); });
    at(kEndAtMs);
    worker.End();
    deployment.store.Delete(key);
    record.Line(id + " has left");
    orders.join();
    for (const auto& [request, started_at] : worker.Starts()) {
      const auto ms =
          std::chrono::duration_cast<milliseconds>(started_at - acknowledged_at).count();
      if (ms <= kDrainMs) continue;
      ++late;
      const int status = answers[request];
      lost += status == 200 ? 0 : 1;
      record.Line("DRAIN: " + request + " reached " + id + " " + std::to_string(ms) +
                  " ms after its report, answered " + std::to_string(status));
    }
    Sleep(500);
  }
  int served = 0;
  for (const auto& [id, status] : answers) served += status == 200 ? 1 : 0;
  record.Say("orders " + std::to_string(answers.size()) + ", answered 200 " +
             std::to_string(served) + ", reached a worker later than drain after its report " +
             std::to_string(late) + ", of these without a success " + std::to_string(lost));
  if (served == 0) return kNotRun;
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
