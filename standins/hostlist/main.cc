// Entry point of the host list stand-in.
#include <iostream>

#include "standins/common/program.h"
#include "standins/hostlist/host_list_service.h"

int main(int argc, char** argv) {
  using namespace mangonotch::standins;
  try {
    TCLAP::CmdLine cmd("Host list for tests", ' ', "0");
    ListenOptions listen(cmd);
    TCLAP::ValueArg<std::int64_t> lag("", "lag-ms", "age of the reported states, in ms", false, 0,
                                      "number", cmd);
    TCLAP::MultiArg<std::string> live("", "live", "host that is live from the start", false, "host",
                                      cmd);
    cmd.parse(argc, argv);
    HostListService service(lag.getValue());
    for (const std::string& host : live.getValue()) {
      service.Set(host, "live");
    }
    BlockStopSignals();
    ServeUntilStopped(listen, [&](const auto& request) { return service.Handle(request); });
  } catch (const std::exception& ex) {
    std::cerr << "hostlist: " << ex.what() << "\n";
    return 1;
  }
}
