// Finding a loopback network that is free.
#include "tests/support/loopback_network.h"

#include <cstdint>

#include "base/error.h"

namespace mangonotch::support {
namespace {

constexpr int kNetworks = 250;
constexpr const char* kGuardHost = "254";
constexpr std::uint16_t kGuardPort = 7099;

}  // namespace

LoopbackNetwork::LoopbackNetwork(boost::asio::io_context& context) : guard_(context) {
  using boost::asio::ip::tcp;
  for (int i = 1; i <= kNetworks; ++i) {
    prefix_ = "127.77." + std::to_string(i) + ".";
    const auto address = boost::asio::ip::make_address_v4(prefix_ + kGuardHost);
    boost::system::error_code ec;
    guard_.open(tcp::v4(), ec);
    if (!ec) guard_.bind(tcp::endpoint(address, kGuardPort), ec);
    if (!ec) guard_.listen(1, ec);
    if (!ec) return;
    guard_.close(ec);
  }
  throw base::Error("hold a loopback network", "127.77.0.0/16", "every network is held");
}

}  // namespace mangonotch::support
