// A caller of the soak: looks hosts up, keeps its connection until that breaks, and checks each
// answer against what the workers have run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/random.h"
#include "http1/client_connection.h"
#include "platform/testing/stand_in_worker.h"

namespace mangonotch::soak {

/// How one request ended, as its caller saw it.
struct Observation {
  base::Instant at;
  bool is_filing = false;
  bool was_served = false;
  bool was_told_not_run = false;
  /// A success that is not a worker's whole answer to this request.
  bool was_forged = false;
};

using Observations = std::map<std::string, Observation, std::less<>>;

class SoakClient {
 public:
  /// `lookups` are the look-up addresses of all hosts. References must outlive the client.
  SoakClient(boost::asio::io_context& context, std::string name, std::string region,
             std::vector<base::Endpoint> lookups, std::uint64_t seed, Observations& seen);

  void Start() { LookUp(); }
  void Stop() { is_stopped_ = true; }

 private:
  void LookUp();
  void OnLookup(const http1::ExchangeResult& result);
  void Ask();
  void OnAnswer(const std::string& id, const http1::ExchangeResult& result);
  void Pause(base::Duration pause, void (SoakClient::*next)());
  /// Ends an exchange that takes longer than the caller waits.
  void GuardExchange(const std::shared_ptr<http1::ClientConnection>& connection);

  boost::asio::io_context& context_;
  std::string name_;
  std::string region_;
  std::vector<base::Endpoint> lookups_;
  base::Random random_;
  Observations& seen_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer guard_;
  std::vector<base::Endpoint> hosts_;
  base::Instant hosts_until_;
  std::shared_ptr<http1::ClientConnection> connection_;
  base::Endpoint host_;
  std::uint64_t asked_ = 0;
  /// Counts the exchanges, so that an old guard does not end a new exchange.
  std::uint64_t exchange_ = 0;
  bool is_stopped_ = false;
};

}  // namespace mangonotch::soak
