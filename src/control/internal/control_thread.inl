// Implementation of control::ControlThread.
#pragma once

#include <utility>

#include "logging/log.h"

namespace mangonotch::control {

inline constexpr std::string_view kTableKey = "table";
/// Longest time between two timer checks of the control thread.
inline constexpr base::Duration kControlPeriod = base::Duration::Milliseconds(100);
/// Timeout of a long poll of the table.
inline constexpr base::Duration kWatchTime = base::Duration::Seconds(10);
/// The store did not wait on a poll that ends sooner without a change, so the host pauses before
/// the next one.
inline constexpr base::Duration kShortWatch = base::Duration::Seconds(1);
/// Timeout of a store call. The store replies in milliseconds; a call this slow means an outage.
inline constexpr base::Duration kStoreTime = base::Duration::Seconds(1);
/// Pause after a failed call, and between the checks of a host that is not the coordinator whether
/// it has become one.
inline constexpr base::Duration kWatchPause = base::Duration::Milliseconds(250);
inline constexpr base::Duration kHostListPause = base::Duration::Seconds(1);
inline constexpr base::Duration kHealthPause = base::Duration::Seconds(1);
inline constexpr base::Duration kHealthTime = base::Duration::Milliseconds(300);
inline constexpr base::Duration kPullTime = base::Duration::Seconds(2);
inline constexpr std::size_t kReceiveBytes = 2048;

template <store::Store S, GatePort G>
ControlThread<S, G>::ControlThread(ControlThreadSettings settings, S& store, G& gates,
                                   SnapshotCell& snapshots, ControlCounters& counters)
    : settings_(std::move(settings)),
      store_(store),
      gates_(gates),
      snapshots_(snapshots),
      counters_(counters),
      socket_(wire::SocketAddress::Parse(settings_.peers)),
      table_server_(wire::SocketAddress::Parse(settings_.peers)),
      record_key_("region/" + settings_.controller.self.region),
      thread_([this] { Run(); }),
      table_watch_(kWatchPause, [this] { WatchTable(); }),
      host_list_poll_(kHostListPause, [this] { PollHostList(); }),
      health_poll_(kHealthPause, [this] { PollHealth(); }) {}

template <store::Store S, GatePort G>
ControlThread<S, G>::~ControlThread() {
  is_stopping_ = true;
  socket_.Wake();
  thread_.join();
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Post(Event event) {
  {
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
  }
  socket_.Wake();
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::OnWait() {
  // A single event covers all requests that start waiting before it is handled.
  if (!is_demand_pending_.exchange(true)) socket_.Wake();
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::OnDraining(base::TargetKey target) {
  Post([target](Controller& it, base::Instant now) { it.OnDraining(target, now); });
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::BeginStop() {
  Post([](Controller& it, base::Instant now) { it.BeginStop(now); });
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Retire() {
  Post([](Controller& it, base::Instant now) { it.Retire(now); });
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Run() {
  Controller controller(settings_.controller, http::Now());
  std::vector<std::byte> buf(kReceiveBytes);
  while (!is_stopping_) {
    Receive(controller, buf, http::Now() + kControlPeriod);
    RunEvents(controller);
    if (is_demand_pending_.exchange(false)) controller.OnDemand(http::Now());
    Apply(controller.TakeEffects(http::Now()));
    if (controller.IsTickDue(http::Now())) {
      gates_.Tick();
      GateUsage usage;
      if (controller.table()) usage = gates_.Usage(*controller.table());
      controller.Tick(usage, http::Now());
      Apply(controller.TakeEffects(http::Now()));
    }
    counters_.has_grants = controller.HasGrants(http::Now());
    Report(controller);
  }
}

/// Updates the state that status pages show, and logs changes.
template <store::Store S, GatePort G>
void ControlThread<S, G>::Report(const Controller& controller) {
  const bool is_coordinator = controller.IsCoordinator(http::Now());
  if (counters_.is_coordinator.exchange(is_coordinator) != is_coordinator) {
    logging::Log(logging::Level::kInfo, is_coordinator ? "coordinator_begins" : "coordinator_ends",
                 {{"region", settings_.controller.self.region}, {"epoch", controller.epoch()}});
  }
  if (const std::string awaited = controller.AwaitedGrantees(http::Now()); awaited != awaited_) {
    logging::LogChange("awaited_grantees", awaited_, awaited);
    awaited_ = awaited;
  }
  if (counters_.revision.exchange(controller.revision()) != controller.revision()) {
    logging::Log(logging::Level::kInfo, "table_in_force", {{"revision", controller.revision()}});
  }
  if (is_steering_ != controller.is_steering()) {
    is_steering_ = controller.is_steering();
    logging::Log(logging::Level::kInfo, "steering_begins", {{"revision", controller.revision()}});
  }
  counters_.messages_refused.Add(controller.refused_messages() - refused_messages_);
  refused_messages_ = controller.refused_messages();
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Receive(Controller& controller, std::span<std::byte> buf,
                                  base::Instant deadline) {
  const wire::Received received = socket_.Receive(buf, deadline);
  if (received.event == wire::ReceiveEvent::kOversized) counters_.messages_malformed.Add();
  if (received.event != wire::ReceiveEvent::kDatagram) return;
  counters_.messages_in.Add();
  counters_.bytes_in.Add(received.bytes.size());
  try {
    const wire::Packet packet = wire::Decode(received.bytes);
    controller.OnMessage(packet.message, packet.sequence, http::Now());
  } catch (const wire::DecodeError&) {
    counters_.messages_malformed.Add();
  }
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::RunEvents(Controller& controller) {
  std::vector<Event> events;
  {
    const std::lock_guard lock(mutex_);
    events.swap(events_);
  }
  for (const Event& it : events) it(controller, http::Now());
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Apply(Effects effects) {
  if (effects.table) {
    table_ = effects.table;
    gates_.Configure(*effects.table);
    table_server_.Publish(std::make_shared<const wire::TableText>(
        wire::TableText{effects.table->revision(), effects.table->text()}));
  }
  if (effects.snapshot) snapshots_.Store(effects.snapshot);
  if (table_) {
    for (const LeavingChange& it : effects.leaving) {
      gates_.SetLeaving(*table_, it.target, it.leaving);
      const TargetPlace* place = table_->FindTarget(it.target);
      if (place == nullptr) continue;
      logging::Log(logging::Level::kInfo, it.leaving ? "target_leaving" : "target_back",
                   {{"target", place->address}});
    }
    if (!effects.grants.empty()) gates_.SetGrants(*table_, effects.grants);
  }
  for (const Outgoing& it : effects.messages) Send(it);
  if (effects.read_record) ReadRecord();
  if (effects.write_record) WriteRecord(*effects.write_record);
  if (effects.pull_table) Pull(*effects.pull_table);
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Send(const Outgoing& message) {
  try {
    wire::Encode(message.message, ++sequence_, send_buf_);
    socket_.Send(wire::SocketAddress::Parse(message.to), send_buf_);
    counters_.messages_out.Add();
    counters_.bytes_out.Add(send_buf_.size());
  } catch (const base::Error&) {
    // Datagrams may be lost anyway; the next heartbeat carries the same state.
    counters_.messages_malformed.Add();
  }
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::ReadRecord() {
  record_worker_.Post([this] {
    counters_.store_reads.Add();
    const store::ReadResult result = store_.Get(record_key_, http::Now() + kStoreTime);
    RecordStoreResult(result.status != store::ReadStatus::kUnavailable);
    if (result.status == store::ReadStatus::kNotFound) {
      Post([](Controller& it, base::Instant now) { it.OnRecordRead(std::nullopt, 0, now); });
      return;
    }
    if (result.status != store::ReadStatus::kOk) {
      Post([](Controller& it, base::Instant now) { it.OnReadFailed(now); });
      return;
    }
    try {
      Post([record = wire::DecodeRecord(result.value), version = result.version](
               Controller& it, base::Instant now) { it.OnRecordRead(record, version, now); });
    } catch (const wire::DecodeError&) {
      Post([](Controller& it, base::Instant now) { it.OnReadFailed(now); });
    }
  });
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::WriteRecord(const shares::WriteRecord& write) {
  record_worker_.Post([this, write] {
    counters_.store_writes.Add();
    const store::WriteResult result =
        store_.Put(record_key_, write.expected_version, wire::EncodeRecord(write.record),
                   http::Now() + kStoreTime);
    RecordStoreResult(result.status == store::WriteStatus::kOk ||
                      result.status == store::WriteStatus::kConflict);
    shares::WriteResult outcome = shares::WriteResult::kUnknown;
    if (result.status == store::WriteStatus::kOk) outcome = shares::WriteResult::kAccepted;
    if (result.status == store::WriteStatus::kConflict) outcome = shares::WriteResult::kConflict;
    Post([outcome, version = result.version](Controller& it, base::Instant now) {
      it.OnWriteDone(outcome, version, now);
    });
  });
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::RecordStoreResult(bool has_answered) {
  if (!has_answered) counters_.store_failures.Add();
  if (has_store_answered_.exchange(has_answered) == has_answered) return;
  logging::Log(has_answered ? logging::Level::kInfo : logging::Level::kWarning,
               has_answered ? "store_back" : "store_unreachable");
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Pull(const PullTable& pull) {
  pull_worker_.Post([this, pull] {
    try {
      const wire::TableText table =
          wire::PullTable(wire::SocketAddress::Parse(pull.peer_address), http::Now() + kPullTime);
      if (table.revision > counters_.revision) {
        Offer(publication::Source::kPeer, table.text, pull.peer_address);
      }
    } catch (const base::Error&) {
      // The next message that names the revision triggers another pull.
    }
  });
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::Offer(publication::Source source, const std::string& text,
                                const std::string& peer) {
  try {
    auto table = table::Table::Parse(text, peer);
    auto prepared = std::make_shared<const SteeringTable>(std::move(table), text);
    Post([source, prepared](Controller& it, base::Instant now) {
      it.OnTable(source, prepared, now);
    });
  } catch (const base::Error& ex) {
    counters_.tables_refused.Add();
    logging::Log(logging::Level::kWarning, "table_refused",
                 {{"source", peer}, {"cause", ex.what()}});
  }
}

// While this host is the coordinator, long polls follow each other without a pause: if the store
// accepted a table between two polls, no host would know it.
template <store::Store S, GatePort G>
void ControlThread<S, G>::WatchTable() {
  while (WatchTableOnce()) {
  }
}

/// True when the next watch may start without a pause.
template <store::Store S, GatePort G>
bool ControlThread<S, G>::WatchTableOnce() {
  if (is_stopping_) return false;
  // Every host reads the table once when it starts; after that only coordinators watch it.
  const bool is_first = counters_.revision == 0 && table_version_ == 0;
  if (!is_first && !IsCoordinator()) return false;
  counters_.store_reads.Add();
  const base::Instant asked_at = http::Now();
  const store::ReadResult result =
      is_first ? store_.Get(kTableKey, http::Now() + kStoreTime)
               : store_.Watch(kTableKey, table_version_, http::Now() + kWatchTime);
  if (result.status == store::ReadStatus::kNotFound) {
    Post([](Controller& it, base::Instant) { it.OnEmptyStore(); });
  }
  if (result.status == store::ReadStatus::kUnchanged) {
    return http::Now() - asked_at >= kShortWatch;
  }
  if (result.status != store::ReadStatus::kOk) return false;
  table_version_ = result.version;
  Offer(publication::Source::kStore, result.value, "store");
  return true;
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::PollHostList() {
  if (settings_.host_list.empty() || !IsCoordinator()) return;
  try {
    const http::Response response = health_client_.Execute(
        http::Endpoint::Parse(settings_.host_list),
        {.method = "GET", .target = settings_.host_list_path, .headers = {}, .body = {}},
        http::Now() + kPullTime);
    if (response.status != 200) return;
    auto entries = ParseHostList(response.body);
    Post([entries = std::move(entries)](Controller& it, base::Instant now) {
      it.OnHostList(entries, now);
    });
  } catch (const base::Error&) {
    // The list only adds hosts and leaving marks; without it the known hosts stay.
  }
}

template <store::Store S, GatePort G>
void ControlThread<S, G>::PollHealth() {
  const SnapshotPtr snapshot = snapshots_.Load();
  if (!IsCoordinator() || !snapshot->table) return;
  const auto region = snapshot->table->FindRegion(settings_.controller.self.region);
  for (const base::TargetKey target : snapshot->table->target_keys()) {
    if (is_stopping_) return;
    const TargetPlace& place = *snapshot->table->FindTarget(target);
    if (place.region != region) continue;
    const base::Instant asked_at = http::Now();
    try {
      const http::Response response =
          health_client_.Execute(http::Endpoint::Parse(place.address),
                                 {.method = "GET", .target = "/health", .headers = {}, .body = {}},
                                 asked_at + kHealthTime);
      const bool is_leaving = response.headers.Find("Draining").has_value();
      Post([=](Controller& it, base::Instant now) {
        it.OnHealth({target, is_leaving, asked_at}, now);
      });
    } catch (const http::ClientError& ex) {
      // Slow targets are detected by the gates from their own requests.
      if (ex.failure() != http::Failure::kConnectRefused) continue;
      Post([=](Controller& it, base::Instant now) { it.OnHealthEndpointGone(target, now); });
    }
  }
}

}  // namespace mangonotch::control
