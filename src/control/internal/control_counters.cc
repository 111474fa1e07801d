// Names of the control metrics.
#include "control/control_counters.h"

namespace mangonotch::control {

ControlCounters::ControlCounters(metrics::Registry& registry)
    : messages_in(registry.AddCounter("mangonotch_peer_messages_in_total", "Datagrams from peers")),
      messages_out(registry.AddCounter("mangonotch_peer_messages_out_total", "Datagrams to peers")),
      bytes_in(registry.AddCounter("mangonotch_peer_in_bytes_total", "Bytes from peers")),
      bytes_out(registry.AddCounter("mangonotch_peer_out_bytes_total", "Bytes to peers")),
      messages_refused(registry.AddCounter("mangonotch_peer_messages_refused_total",
                                           "Messages from unknown hosts or replaced processes")),
      messages_malformed(registry.AddCounter("mangonotch_peer_messages_malformed_total",
                                             "Datagrams that cannot be decoded")),
      store_reads(registry.AddCounter("mangonotch_store_reads_total", "Reads and watches")),
      store_writes(registry.AddCounter("mangonotch_store_writes_total", "Writes")),
      store_failures(registry.AddCounter("mangonotch_store_failures_total",
                                         "Calls to the store without a usable answer")),
      tables_refused(registry.AddCounter("mangonotch_tables_refused_total",
                                         "Tables that did not pass the checks")) {}

}  // namespace mangonotch::control
