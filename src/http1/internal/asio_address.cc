// Conversion of IP addresses and endpoints.
#include "http1/asio_address.h"

#include <algorithm>

namespace mangonotch::http1 {

boost::asio::ip::address ToAsioAddress(const base::IpAddress& address) {
  if (address.is_v4) {
    boost::asio::ip::address_v4::bytes_type bytes;
    // The last 4 of the 16 bytes hold the IPv4 address.
    std::copy(address.bytes.begin() + 12, address.bytes.end(), bytes.begin());
    return boost::asio::ip::address_v4(bytes);
  }
  boost::asio::ip::address_v6::bytes_type bytes;
  std::copy(address.bytes.begin(), address.bytes.end(), bytes.begin());
  return boost::asio::ip::address_v6(bytes);
}

boost::asio::ip::tcp::endpoint ToAsio(const base::Endpoint& endpoint) {
  return {ToAsioAddress(endpoint.address), endpoint.port};
}

boost::asio::ip::udp::endpoint ToAsioUdp(const base::Endpoint& endpoint) {
  return {ToAsioAddress(endpoint.address), endpoint.port};
}

base::Endpoint FromAsio(const boost::asio::ip::udp::endpoint& endpoint) {
  base::Endpoint result;
  result.port = endpoint.port();
  const boost::asio::ip::address address = endpoint.address();
  if (address.is_v4()) {
    const auto bytes =
        boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, address.to_v4()).to_bytes();
    std::copy(bytes.begin(), bytes.end(), result.address.bytes.begin());
  } else {
    const auto bytes = address.to_v6().to_bytes();
    std::copy(bytes.begin(), bytes.end(), result.address.bytes.begin());
  }
  result.address.is_v4 = address.is_v4();
  return result;
}

std::string ToText(const base::Endpoint& endpoint) {
  const std::string address = ToAsioAddress(endpoint.address).to_string();
  const std::string port = std::to_string(endpoint.port);
  return endpoint.address.is_v4 ? address + ":" + port : "[" + address + "]:" + port;
}

}  // namespace mangonotch::http1
