// A faulty worker sends additional bytes after some of its complete answers. They arrive late, when
// the next request is already on the connection, and look like the answer of a worker that is full.
// Orders must not run twice. Exit: 1 if a rule was broken, 0 if not, 2 if the case couldn't run.
#include <array>

#include "deployment.h"

namespace review {
namespace {

constexpr int kRunMs = 30000;
constexpr int kClientsPerHost = 4;
constexpr int kPauseMs = 40;
/// One in so many answers of the faulty worker is followed by additional bytes.
constexpr int kEvery = 50;
/// Two of the five workers.
constexpr std::array kFaultyWorkers = {"i-o1", "i-o2"};
constexpr const char* kAdditionalBytes =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Sends the additional bytes that an answer has left behind once the next request has come.
class Fault {
 public:
  Fault(std::string worker, Record& record) : worker_(std::move(worker)), record_(record) {}

  void OnHead(int fd, const Message& head) {
    {
      const std::lock_guard lock(mutex_);
      if (due_.erase(fd) == 0) return;
      ++sent_;
    }
    record_.Line("additional bytes of " + worker_ +
                 " while it has id=" + head.Header("X-Attempt-Id"));
    SendAll(fd, kAdditionalBytes);
  }
  bool OnAnswer(int fd, const std::string& text) {
    const bool is_sent = SendAll(fd, text);
    const std::lock_guard lock(mutex_);
    due_.erase(fd);
    if (++answers_ % kEvery == 0 && HasTrouble()) due_.insert(fd);
    return is_sent;
  }
  int sent() const { return sent_; }

 private:
  const std::string worker_;
  Record& record_;
  std::mutex mutex_;
  std::set<int> due_;
  int answers_ = 0;
  int sent_ = 0;
};

int Run(const std::string& folder) {
  Deployment deployment(folder);
  std::vector<Fault*> faults;
  for (const char* id : kFaultyWorkers) {
    Fault* const fault = new Fault(id, deployment.record);
    faults.push_back(fault);
    Worker& worker = deployment.worker(id);
    worker.on_head = [fault](int fd, const Message& head) { fault->OnHead(fd, head); };
    worker.send = [fault](int fd, const Message&, const std::string& text) {
      return fault->OnAnswer(fd, text);
    };
  }
  if (!deployment.Start()) return kNotRun;
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::vector<std::thread> clients;
  const auto end = Clock::now() + milliseconds(kRunMs);
  for (std::size_t i = 0; i < kClientsPerHost * deployment.hosts.size(); ++i) {
    clients.emplace_back([&, i] {
      Client client(*deployment.hosts[i % deployment.hosts.size()], deployment.record);
      for (int n = 0; Clock::now() < end; ++n) {
        const std::string id = "order-" + std::to_string(i) + "-" + std::to_string(n);
        const int status = client.Ask("POST", "/order/" + std::to_string(n), id, "one band");
        {
          const std::lock_guard lock(mutex);
          answers[id] = status;
        }
        Sleep(kPauseMs);
      }
    });
  }
  for (std::thread& it : clients) it.join();
  Sleep(1000);
  int served = 0;
  int twice = 0;
  int refused_but_run = 0;
  int additional = 0;
  for (const Fault* it : faults) additional += it->sent();
  const std::map<std::string, int> runs = deployment.Runs();
  for (const auto& [id, status] : answers) {
    const auto run = runs.find(id);
    const int n = run == runs.end() ? 0 : run->second;
    served += status == 200 ? 1 : 0;
    const bool promises_not_run = status == 503 || status == 429 || status == 408 || status == 421;
    if (n > 1)
      deployment.record.Line("TWICE: " + id + " ran " + std::to_string(n) + " times, answered " +
                             std::to_string(status));
    if (n > 0 && promises_not_run)
      deployment.record.Line("REFUSED: " + id + " ran, answered " + std::to_string(status));
    twice += n > 1 ? 1 : 0;
    refused_but_run += n > 0 && promises_not_run ? 1 : 0;
  }
  deployment.record.Say(
      "orders " + std::to_string(answers.size()) + ", answered 200 " + std::to_string(served) +
      ", additional bytes sent " + std::to_string(additional) + ", ran more than once " +
      std::to_string(twice) + ", ran and refused as not run " + std::to_string(refused_but_run));
  if (served == 0) return kNotRun;
  return twice + refused_but_run > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
