// Conversion of base::Endpoint to Asio endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "base/endpoint.h"

namespace mangonotch::http1 {

boost::asio::ip::address ToAsioAddress(const base::IpAddress& address);
boost::asio::ip::tcp::endpoint ToAsio(const base::Endpoint& endpoint);
boost::asio::ip::udp::endpoint ToAsioUdp(const base::Endpoint& endpoint);
base::Endpoint FromAsio(const boost::asio::ip::udp::endpoint& endpoint);
/// Formats the endpoint as "ip:port", or "[ip]:port" for IPv6.
std::string ToText(const base::Endpoint& endpoint);

}  // namespace mangonotch::http1
