// Listen options and main loop of the three stand-in programs.
#pragma once

#include <tclap/CmdLine.h>

#include <cstdint>
#include <string>

#include "http/server.h"

namespace mangonotch::standins {

/// The options --address, --port and --threads.
class ListenOptions {
 public:
  explicit ListenOptions(TCLAP::CmdLine& cmd)
      : address_("", "address", "IP address to listen on", false, "127.0.0.1", "ip", cmd),
        port_("", "port", "port to listen on, 0 for a free one", false, 0, "number", cmd),
        threads_("", "threads", "maximum number of requests handled concurrently", false, 128,
                 "number", cmd) {}

  const std::string& address() { return address_.getValue(); }
  std::uint16_t port() { return static_cast<std::uint16_t>(port_.getValue()); }
  unsigned threads() { return threads_.getValue(); }

 private:
  TCLAP::ValueArg<std::string> address_;
  TCLAP::ValueArg<unsigned> port_;
  TCLAP::ValueArg<unsigned> threads_;
};

/// Blocks SIGTERM and SIGINT. Must be called before any thread starts, so that all threads inherit
/// the mask.
void BlockStopSignals();

/// Serves, prints `listening ip:port` and returns after SIGTERM or SIGINT.
void ServeUntilStopped(ListenOptions& options, http::Server::Handler handler);

}  // namespace mangonotch::standins
