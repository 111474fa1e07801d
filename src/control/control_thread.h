// Runs a Controller: the one thread that owns control state, the peer socket it sleeps on, and the
// helper threads that talk to the store, to peers' table servers, to the host list and to targets'
// health endpoints.
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
  /// Gives all slots back; call it when no request is in flight any more.
  void Retire();

 private:
  using Event = std::function<void(Controller&, base::Instant)>;

  /// Hands an event to the control thread.
  void Post(Event event);
  void Run();
  void Receive(Controller& controller, std::span<std::byte> buf, base::Instant deadline);
  void RunEvents(Controller& controller);
  void Report(const Controller& controller);
  void NoteStore(bool has_answered);
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
  std::uint64_t sequence_ = 0;          // Of the control thread.
  std::vector<std::byte> send_buf_;     // Of the control thread.
  SteeringTablePtr table_;              // Of the control thread: the table that the gates have.
  std::uint64_t table_version_ = 0;     // Of the table watch: the store's version it has seen.
  std::string awaited_;                 // Of the control thread: as last logged.
  bool is_steering_ = false;            // Of the control thread.
  std::uint64_t refused_messages_ = 0;  // Of the control thread: those counted so far.
  std::atomic<bool> has_store_answered_{true};
  std::atomic<bool> is_stopping_{false};
  std::atomic<bool> is_demand_pending_{false};
  std::mutex mutex_;
  std::vector<Event> events_;  // Guarded by mutex_.
  http::Client health_client_;
  // Before thread_, which posts to them from its start.
  Worker record_worker_;
  Worker pull_worker_;
  std::thread thread_;
  // Last members: their threads use the others.
  Periodic table_watch_;
  Periodic host_list_poll_;
  Periodic health_poll_;
};

}  // namespace mangonotch::control

#include "control/internal/control_thread.inl"
