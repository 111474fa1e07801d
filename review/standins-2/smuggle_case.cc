// A client sends orders whose body has a transfer coding that isn't chunked, so that its end can't
// be known. The body has the form of another order. Exit: 1 if a rule was broken, 0 if not, 2 if
// the case couldn't run.
#include "deployment.h"

namespace review {
namespace {

constexpr int kOrders = 20;
constexpr int kWaitMs = 1000;

int Run(const std::string& folder) {
  Deployment deployment(folder);
  if (!deployment.Start()) return kNotRun;
  Record& record = deployment.record;
  std::set<std::string> sent;
  std::set<std::string> inner;
  int served = 0;
  for (int i = 0; i < kOrders; ++i) {
    const EdgeHost& host = *deployment.hosts[static_cast<std::size_t>(i) % deployment.hosts.size()];
    const std::string id = "order-" + std::to_string(i);
    const std::string inner_id = "body-" + std::to_string(i);
    const std::string body = MakeRequest("POST", "/order/in-the-body", inner_id, kRouteTimeoutMs,
                                         "Content-Length: 0\r\n");
    const std::string framing = HasTrouble()
                                    ? "Transfer-Encoding: gzip\r\n"
                                    : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    sent.insert(id);
    inner.insert(inner_id);
    const int fd = Connect(host.ip, host.callers);
    SendAll(fd, MakeRequest("POST", "/order/" + std::to_string(i), id, kRouteTimeoutMs, framing) +
                    body);
    Reader reader(fd);
    Message answer;
    int answers = 0;
    std::string statuses;
    while (reader.Read(answer, kWaitMs) == Reader::End::kWhole) {
      ++answers;
      statuses += " " + std::to_string(answer.Status());
      served += answer.Status() == 200 && answer.Header("X-Attempt-Id") == id ? 1 : 0;
    }
    record.Line("sent POST id=" + id + " with " + framing.substr(0, framing.size() - 2) +
                ", answers:" + statuses);
    close(fd);
  }
  Sleep(500);
  int smuggled = 0;
  int unasked = 0;
  for (const auto& [id, n] : deployment.Runs()) {
    if (inner.count(id) > 0) ++smuggled;
    if (sent.count(id) == 0) ++unasked;
  }
  record.Say("orders sent " + std::to_string(kOrders) + ", answered 200 " + std::to_string(served) +
             ", runs of requests that no client sent " + std::to_string(unasked) +
             ", of these out of a body " + std::to_string(smuggled));
  if (!HasTrouble() && served == 0) return kNotRun;
  return unasked > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return review::Main(argc, argv, review::Run); }
