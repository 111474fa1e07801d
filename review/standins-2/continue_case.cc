// A client that reads its downloads slowly and meanwhile sends an upload that asks for
// "100 Continue", on the same connection. The other clients of the host must be answered all the
// same. Exit: 1 if they weren't, 0 if they were, 2 if the case couldn't run.
#include "kit.h"

namespace review {
namespace {

constexpr int kRouteTimeoutMs = 1500;
constexpr int kSlackMs = 500;
constexpr int kDownloadTimeoutMs = 20000;
constexpr std::size_t kDownloadBytes = 540000;
constexpr int kMaxRounds = 30;
constexpr int kRunMs = 28000;
/// The slow client starts no further round this long before the end.
constexpr int kLastRoundMs = 9000;
/// Bytes a second of the slow client.
constexpr int kSlowBytesPerS = 200000;
constexpr int kSlowReadBytes = 5000;
constexpr int kClientsPerHost = 12;
/// How long the slow client waits for "100 Continue" before it sends a body all the same.
constexpr int kContinueWaitMs = 300;
constexpr int kPauseMs = 100;

struct Totals {
  std::atomic<int> sent = 0;
  std::atomic<int> answered = 0;
  /// Without a final answer at the route's timeout, and still 0.5 s later.
  std::atomic<int> late = 0;
  std::atomic<int> unanswered = 0;
};

/// Sends a request every 50 ms on a kept connection until `end`.
void RunClient(const EdgeHost& host, int number, bool is_order, Clock::time_point end,
               Totals& totals, Record& record) {
  int fd = Connect(host.ip, host.callers);
  auto reader = std::make_unique<Reader>(fd);
  for (int i = 0; Clock::now() < end; ++i) {
    const std::string id = host.ip + "-c" + std::to_string(number) + "-" + std::to_string(i);
    const std::string path = is_order ? "/order/" : "/state/";
    const auto sent_at = Clock::now();
    ++totals.sent;
    Message answer;
    Reader::End result = Reader::End::kClosed;
    if (SendAll(fd, MakeRequest(is_order ? "POST" : "GET", path + id, id, kRouteTimeoutMs,
                                is_order ? "Content-Length: 0\r\n" : ""))) {
      result = reader->Read(answer, kRouteTimeoutMs);
      if (result == Reader::End::kTimeout) ++totals.late;
      if (result == Reader::End::kTimeout) result = reader->Read(answer, kSlackMs);
    }
    const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - sent_at).count();
    if (result == Reader::End::kWhole) {
      ++totals.answered;
      if (ms > 200)
        record.Line("answered " + id + " " + std::to_string(answer.Status()) + " after " +
                    std::to_string(ms) + " ms");
    } else {
      ++totals.unanswered;
      record.Line("no answer " + id + " within " + std::to_string(ms) + " ms");
      // As a client whose time has passed: it leaves, and connects again.
      close(fd);
      fd = Connect(host.ip, host.callers);
      reader = std::make_unique<Reader>(fd);
    }
    Sleep(50);
  }
  close(fd);
}

/// Answers of the slow client's connection, in the order of its requests.
struct SlowResult {
  int whole = 0;
  int wrong = 0;
  int unread = 0;
};

class SlowClient {
 public:
  SlowClient(const EdgeHost& host, Record& record) : record_(record) {
    fd_ = Connect(host.ip, host.callers, 65536);
  }

  SlowResult Run(Clock::time_point end) {
    std::thread reading([&] { ReadAnswers(end); });
    for (int i = 0; i < kMaxRounds && Clock::now() + milliseconds(kLastRoundMs) < end; ++i) {
      Download();
      Sleep(kPauseMs);
      Upload(i);
      Sleep(kPauseMs);
    }
    reading.join();
    close(fd_);
    const std::lock_guard lock(mutex_);
    result_.unread = static_cast<int>(expected_.size());
    return result_;
  }

 private:
  void Expect(const std::string& id) {
    const std::lock_guard lock(mutex_);
    expected_.push_back(id);
  }

  void Download() {
    const std::string number = std::to_string(++downloads_);
    const std::string id = "slow-get-" + number;
    Expect(id);
    SendAll(fd_, MakeRequest("GET", "/pack/" + number, id, kDownloadTimeoutMs));
    record_.Line("sent " + id);
  }

  /// Sends the head, waits for "100 Continue" for a while, and sends the body.
  void Upload(int i) {
    const std::string id = "slow-put-" + std::to_string(i);
    const std::string body(2000, 'u');
    Expect(id);
    continues_ = 0;
    SendAll(fd_, MakeRequest("PUT", "/state/" + std::to_string(i), id, kDownloadTimeoutMs,
                             "Content-Length: " + std::to_string(body.size()) +
                                 "\r\nExpect: 100-continue\r\n"));
    record_.Line("sent head of " + id);
    for (int waited = 0; waited < kContinueWaitMs && continues_ == 0; waited += 10) Sleep(10);
    SendAll(fd_, body);
    record_.Line("sent body of " + id + (continues_ > 0 ? " after 100" : " without 100"));
  }

  /// Reads at most kSlowBytesPerS with trouble, at full speed without, and takes the answers apart.
  void ReadAnswers(Clock::time_point end) {
    std::vector<char> bytes(HasTrouble() ? kSlowReadBytes : 65536);
    while (Clock::now() < end && result_.wrong == 0) {
      if (HasTrouble()) Sleep(kSlowReadBytes * 1000 / kSlowBytesPerS);
      if (!IsReadable(fd_, 100)) continue;
      const ssize_t n = recv(fd_, bytes.data(), bytes.size(), 0);
      if (n <= 0) {
        record_.Line("the slow client's connection has ended");
        return;
      }
      received_.append(bytes.data(), static_cast<std::size_t>(n));
      while (TakeAnswer()) continue;
    }
  }

  bool TakeAnswer() {
    const std::size_t head_end = received_.find("\r\n\r\n");
    if (head_end == std::string::npos) return false;
    Message head;
    Reader parser(-1);
    parser.buffer = received_.substr(0, head_end + 4);
    if (parser.ReadHead(head, 0) != Reader::End::kWhole || head.start.rfind("HTTP/1.1 ", 0) != 0) {
      return Fail("bytes that are no answer: " + received_.substr(0, 60));
    }
    if (head.Status() == 100) {
      received_.erase(0, head_end + 4);
      ++continues_;
      return true;
    }
    const auto size = static_cast<std::size_t>(std::atoll(head.Header("Content-Length").c_str()));
    if (received_.size() < head_end + 4 + size) return false;
    const std::string body = received_.substr(head_end + 4, size);
    received_.erase(0, head_end + 4 + size);
    std::string id;
    {
      const std::lock_guard lock(mutex_);
      if (!expected_.empty()) id = expected_.front();
      if (!expected_.empty()) expected_.erase(expected_.begin());
    }
    const bool is_download = id.rfind("slow-get-", 0) == 0;
    const std::string whole =
        is_download ? std::string(kDownloadBytes, 'd') : "whole answer to " + id;
    if (head.Status() == 200 && (head.Header("X-Attempt-Id") != id || body != whole)) {
      const std::size_t at = body.find("HTTP/1.1");
      return Fail("answer to " + id + " with another body" +
                  (at == std::string::npos
                       ? ""
                       : ", which has at byte " + std::to_string(at) + ": " + body.substr(at, 23)));
    }
    record_.Line("answered " + id + " " + std::to_string(head.Status()));
    ++result_.whole;
    return true;
  }

  bool Fail(const std::string& cause) {
    record_.Say("MIXED: " + cause);
    ++result_.wrong;
    return false;
  }

  Record& record_;
  int fd_ = -1;
  int downloads_ = 0;
  std::mutex mutex_;
  std::vector<std::string> expected_;
  std::atomic<int> continues_ = 0;
  std::string received_;
  SlowResult result_;
};

int Run(const std::string& folder) {
  // Never freed: their threads end with the process.
  Record& record = *new Record(folder + "/record.txt");
  Store& store = *new Store;
  std::vector<Worker*> workers;
  TemporaryFolder temporary;
  const auto add = [&](const std::string& id, const std::string& service) {
    workers.push_back(
        new Worker({.id = id, .service = service, .zone = "alfold-a", .slots = 8}, record));
    store.Put("servers/" + id, workers.back()->Entry().dump());
  };
  for (const char* id : {"i-p1", "i-p2"}) add(id, "packs");
  for (const char* id : {"i-s1", "i-s2"}) add(id, "states");
  for (const char* id : {"i-o1", "i-o2"}) add(id, "orders");
  for (std::size_t i : {0, 1}) {
    workers[i]->body = [](const Message&) { return std::string(kDownloadBytes, 'd'); };
  }
  store.Put("op/config",
            ConfigurationOf(7,
                            {RouteOf("/pack/", "download", "packs", kDownloadTimeoutMs, 5000),
                             RouteOf("/state/", "idempotent", "states", kRouteTimeoutMs, 500),
                             RouteOf("/order/", "non_idempotent", "orders", kRouteTimeoutMs, 500)},
                            {"packs", "states", "orders"})
                .dump());
  const std::string net = "127." + std::to_string(20 + getpid() % 200) + ".0.";
  const int peers = FreePeersPort({net + "1", net + "2"});
  EdgeHost first("edge-1", net + "1", peers, store.port(), net + "1", 260, temporary.path);
  EdgeHost second("edge-2", net + "2", peers, store.port(), net + "1", 260, temporary.path);
  if (!first.WaitReady(15000) || !second.WaitReady(15000)) {
    record.Say("the hosts are not ready");
    return kNotRun;
  }
  Sleep(6000);
  const auto end = Clock::now() + milliseconds(kRunMs);
  Totals on_first;
  Totals on_second;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClientsPerHost; ++i) {
    clients.emplace_back([&, i] { RunClient(first, i, i % 2 == 1, end, on_first, record); });
    clients.emplace_back([&, i] { RunClient(second, i, i % 2 == 1, end, on_second, record); });
  }
  SlowClient slow(first, record);
  const SlowResult result = slow.Run(end);
  for (std::thread& it : clients) it.join();
  const auto describe = [&](const std::string& name, const Totals& it) {
    record.Say(name + ": sent " + std::to_string(it.sent) + ", answered " +
               std::to_string(it.answered) + ", unanswered at the route's timeout " +
               std::to_string(it.late) + ", still 0.5 s later " + std::to_string(it.unanswered));
  };
  describe("other clients of the slow client's host", on_first);
  describe("clients of the other host", on_second);
  record.Say("slow client: whole answers " + std::to_string(result.whole) + ", wrong bodies " +
             std::to_string(result.wrong) + ", not read to the end " +
             std::to_string(result.unread));
  const bool hangs = on_first.unanswered >= 8 && on_first.unanswered * 4 > on_first.late;
  if (hangs)
    record.Say("CONFIG broken: requests without an answer 0.5 s after their route's timeout");
  // The body that is spoilt besides is review/2's.
  if (on_first.answered == 0 || on_second.answered == 0) return kNotRun;
  return hangs ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
