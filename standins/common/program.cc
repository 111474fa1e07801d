// Runs a stand-in until SIGTERM or SIGINT.
#include "standins/common/program.h"

#include <signal.h>

#include <iostream>

namespace mangonotch::standins {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void ServeUntilStopped(ListenOptions& options, http::Server::Handler handler) {
  http::ServerLimits limits;
  limits.threads = options.threads();
  limits.body_bytes = 4 << 20;
  limits.idle_timeout = base::Duration::Seconds(60);
  http::Server server(options.address(), options.port(), limits, std::move(handler));
  std::cout << "listening " << options.address() << ":" << server.port() << std::endl;
  const sigset_t set = StopSignals();
  int signal = 0;
  sigwait(&set, &signal);
  server.Stop();
}

}  // namespace mangonotch::standins
