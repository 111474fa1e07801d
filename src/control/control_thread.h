// Runs a Controller: the thread that owns the control state and waits on the peer socket, and the
// helper threads that call the store, peers' table servers, the host list and targets' health
// endpoints.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "control/control_counters.h"
#include "control/controller.h"
#include "control/gate_port.h"
#include "control/host_list.h"
#include "control/periodic.h"
#include "control/snapshot_cell.h"
#include "control/worker.h"
#include "http/client.h"
#include "http/clock.h"
#include "store/store.h"
#include "wire/codec.h"
#include "wire/decode_error.h"
#include "wire/region_record_json.h"
#include "wire/socket_address.h"
#include "wire/table_pull.h"
#include "wire/table_server.h"
#include "wire/udp_socket.h"

namespace mangonotch::control {

struct ControlThreadSettings {
  ControllerSettings controller;
  /// Peer address, for UDP and TCP.
  std::string peers;
  std::string host_list;
  std::string host_list_path;
};

template <store::Store S, GatePort G>
class ControlThread {
 public:
  /// Binds the peer address and starts. Throws base::Error when the address cannot be bound.
  ControlThread(ControlThreadSettings settings, S& store, G& gates, SnapshotCell& snapshots,
                ControlCounters& counters);
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;
  ~ControlThread();

  // May be called from any thread.
  void OnWait();
  void OnDraining(base::TargetKey target);
  void BeginStop();
  /// Releases all slots. Call it only after the last request in flight has ended.
  void Retire();

 private:
  using Event = std::function<void(Controller&, base::Instant)>;

  /// Queues an event for the control thread.
  void Post(Event event);
  void Run();
  void Receive(Controller& controller, std::span<std::byte> buf, base::Instant deadline);
  void RunEvents(Controller& controller);
  void Report(const Controller& controller);
  void RecordStoreResult(bool has_answered);
  void Apply(Effects effects);
  void Send(const Outgoing& message);
  void ReadRecord();
  void WriteRecord(const shares::WriteRecord& write);
  void Pull(const PullTable& pull);
  void Offer(publication::Source source, const std::string& text, const std::string& peer);
  void WatchTable();
  bool WatchTableOnce();
  void PollHostList();
  void PollHealth();
  bool IsCoordinator() const { return counters_.is_coordinator.load(); }

  ControlThreadSettings settings_;
  S& store_;
  G& gates_;
  SnapshotCell& snapshots_;
  ControlCounters& counters_;
  wire::UdpSocket socket_;
  wire::TableServer table_server_;
  const std::string record_key_;
  std::uint64_t sequence_ = 0;          // Control thread only.
  std::vector<std::byte> send_buf_;     // Control thread only.
  SteeringTablePtr table_;              // Control thread only: the table the gates use.
  std::uint64_t table_version_ = 0;     // Table watch thread only: last store version seen.
  std::string awaited_;                 // Control thread only: value last logged.
  bool is_steering_ = false;            // Control thread only.
  std::uint64_t refused_messages_ = 0;  // Control thread only: number counted so far.
  std::atomic<bool> has_store_answered_{true};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_demand_pending_{false};
  std::mutex mutex_;
  std::vector<Event> events_;  // Guarded by mutex_.
  http::Client health_client_;
  // Declared before thread_, which posts to them as soon as it starts.
  Worker record_worker_;
  Worker pull_worker_;
  std::thread thread_;
  // Declared last: their threads use the other members.
  Periodic table_watch_;
  Periodic host_list_poll_;
  Periodic health_poll_;
};

}  // namespace mangonotch::control

#include "control/internal/control_thread.inl"
