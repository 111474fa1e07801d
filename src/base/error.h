// The base exception of the project: which operation failed, with which peer, and why.
#pragma once

#include <stdexcept>
#include <string>

namespace mangonotch::base {

class Error : public std::runtime_error {
 public:
  /// `step` is the operation that failed ("read table"), `peer` the other side ("store
  /// 127.0.0.1:7000", or empty where there is none), `detail` the cause.
  Error(std::string step, std::string peer, const std::string& detail)
      : std::runtime_error(step + (peer.empty() ? "" : " [" + peer + "]") + ": " + detail),
        step_(std::move(step)),
        peer_(std::move(peer)) {}

  const std::string& step() const { return step_; }
  const std::string& peer() const { return peer_; }

 private:
  std::string step_;
  std::string peer_;
};

}  // namespace mangonotch::base
