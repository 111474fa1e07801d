// The traffic thread: runs an Asio context with the request proxy. After construction, the proxy is
// used only by tasks posted to this thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <utility>

#include "edge/decision_log.h"
#include "edge/request_proxy.h"
#include "http1/post.h"
#include "platform/traffic_codec.h"

namespace mangonotch::app {

class TrafficThread {
 public:
  using Proxy = edge::RequestProxy<platform::PlatformTrafficCodec, edge::DecisionLog>;

  TrafficThread(const base::Endpoint& callers, steering::EngineSettings settings,
                const edge::ProxyLimits& limits, metrics::Registry& registry)
      : work_(context_.get_executor()),
        log_(registry),
        proxy_(context_, callers, std::move(settings), limits, {}, log_),
        thread_([this] { context_.run(); }) {}
  ~TrafficThread() {
    context_.stop();
    thread_.join();
  }
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /// Runs `task(proxy)` on the traffic thread.
  template <typename Task>
  void Post(Task task) {
    http1::Post(context_, [this, task = std::move(task)]() mutable { task(proxy_); });
  }

 private:
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  edge::DecisionLog log_;
  Proxy proxy_;
  std::thread thread_;
};

}  // namespace mangonotch::app
