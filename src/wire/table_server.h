// Serves this host's table to peers over TCP, on a thread of its own.
#pragma once

#include <poll.h>

#include <memory>
#include <mutex>
#include <span>
#include <thread>
#include <vector>

#include "base/instant.h"
#include "wire/file_descriptor.h"
#include "wire/socket_address.h"
#include "wire/table_text.h"
#include "wire/wake_up.h"

namespace mangonotch::wire {

class TableServer {
 public:
  /// Throws base::Error when `address` cannot be bound.
  explicit TableServer(const SocketAddress& address);
  /// Ends connections in progress.
  ~TableServer();
  TableServer(const TableServer&) = delete;
  TableServer& operator=(const TableServer&) = delete;

  const SocketAddress& local() const { return local_; }

  /// The table that peers get from now on; may be called from any thread. Throws base::Error when
  /// the text is over kMaxTableBytes.
  void Publish(std::shared_ptr<const TableText> table);

 private:
  class Connection;

  void Serve();
  /// Returns the time before which nothing more is accepted.
  base::Instant AcceptAll(std::vector<Connection>& connections);
  /// Serves the connections whose entry in `fds` is ready; drops those that are over.
  void ContinueReady(std::vector<Connection>& connections, std::span<const pollfd> fds);
  std::shared_ptr<const TableText> Current();

  FileDescriptor listener_;
  SocketAddress local_;
  WakeUp stop_;
  std::mutex mutex_;
  /// Never null; guarded by `mutex_`.
  std::shared_ptr<const TableText> table_;
  /// Last member: the thread uses all others.
  std::thread thread_;
};

}  // namespace mangonotch::wire
