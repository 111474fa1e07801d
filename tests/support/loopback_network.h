// Loopback addresses for the hosts of one test run, so that runs on one machine do not meet.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace mangonotch::support {

class LoopbackNetwork {
 public:
  /// Holds a /24 network that no other live LoopbackNetwork holds, of this process or another.
  /// Throws base::Error when there is none.
  explicit LoopbackNetwork(boost::asio::io_context& context);

  /// Address of host `n`, from 1 to 253.
  std::string Host(int n) const { return prefix_ + std::to_string(n); }

 private:
  /// Bound to the network's last address for as long as the network is held.
  boost::asio::ip::tcp::acceptor guard_;
  /// The first three numbers, with the dot behind them.
  std::string prefix_;
};

}  // namespace mangonotch::support
