// Entry point of the key-value stand-in.
#include <iostream>

#include "standins/common/program.h"
#include "standins/kv/kv_service.h"

int main(int argc, char** argv) {
  using namespace mangonotch::standins;
  try {
    TCLAP::CmdLine cmd("Key-value service for tests", ' ', "0");
    ListenOptions listen(cmd);
    TCLAP::ValueArg<double> reads("", "reads", "reads a second, 0 for no limit", false, 2000,
                                  "number", cmd);
    TCLAP::ValueArg<double> writes("", "writes", "writes a second, 0 for no limit", false, 400,
                                   "number", cmd);
    cmd.parse(argc, argv);
    KvOptions options;
    options.reads_per_second = reads.getValue();
    options.writes_per_second = writes.getValue();
    KvService service(options);
    BlockStopSignals();
    ServeUntilStopped(listen, [&](const auto& request) { return service.Handle(request); });
  } catch (const std::exception& ex) {
    std::cerr << "kv: " << ex.what() << "\n";
    return 1;
  }
}
