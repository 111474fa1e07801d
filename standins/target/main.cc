// Entry point of the target stand-in.
#include <iostream>
#include <stdexcept>

#include "standins/common/parameters.h"
#include "standins/common/program.h"
#include "standins/target/target_service.h"

namespace mangonotch::standins {
namespace {

PathTime ParsePathTime(const std::string& text) {
  const std::size_t equals = text.rfind('=');
  const auto ms = ParseInteger(equals == std::string::npos ? "" : text.substr(equals + 1));
  if (!ms) {
    throw std::invalid_argument("--path expects PREFIX=MS, got " + text);
  }
  return {text.substr(0, equals), *ms};
}

void Run(int argc, char** argv) {
  using Number = TCLAP::ValueArg<std::int64_t>;
  TCLAP::CmdLine cmd("Target for tests", ' ', "0");
  ListenOptions listen(cmd);
  TargetOptions options;
  Number slots("", "slots", "maximum number of requests in flight", false, options.slots, "number",
               cmd);
  Number shed("", "shed-at", "sheds requests when this many are in flight, 0 for never", false, 0,
              "number", cmd);
  Number short_ms("", "short-ms", "service time", false, options.short_ms, "ms", cmd);
  Number long_ms("", "long-ms", "service time of long work", false, options.long_ms, "ms", cmd);
  TCLAP::MultiArg<std::string> paths("", "path", "service time of paths with a prefix", false,
                                     "PREFIX=MS", cmd);
  Number cold("", "cold-requests", "number of requests after a start that run slower", false, 0,
              "number", cmd);
  Number extra("", "cold-extra-ms", "service time added to the first of them", false, 0, "ms", cmd);
  Number connection("", "connection-ms", "service time added for a new connection", false, 0, "ms",
                    cmd);
  Number bytes("", "answer-bytes", "size of response bodies", false, options.answer_bytes, "bytes",
               cmd);
  cmd.parse(argc, argv);
  options.slots = static_cast<unsigned>(slots.getValue());
  options.shed_at = static_cast<unsigned>(shed.getValue());
  options.short_ms = short_ms.getValue();
  options.long_ms = long_ms.getValue();
  for (const std::string& text : paths.getValue()) {
    options.path_times.push_back(ParsePathTime(text));
  }
  options.cold_requests = cold.getValue();
  options.cold_extra_ms = extra.getValue();
  options.connection_ms = connection.getValue();
  options.answer_bytes = bytes.getValue();
  TargetService service(options);
  BlockStopSignals();
  ServeUntilStopped(listen, [&](const auto& request) { return service.Handle(request); });
}

}  // namespace
}  // namespace mangonotch::standins

int main(int argc, char** argv) {
  try {
    mangonotch::standins::Run(argc, argv);
  } catch (const std::exception& ex) {
    std::cerr << "target: " << ex.what() << "\n";
    return 1;
  }
}
