// Posting of tasks to an Asio context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace mangonotch::http1 {

/// Queues `task` to run on the thread of `context`, never within this call. Thread-safe.
template <typename Task>
void Post(boost::asio::io_context& context, Task task) {
// A default argument in Asio is a literal 0 for a pointer.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"
  boost::asio::post(context, std::move(task));
#pragma GCC diagnostic pop
}

}  // namespace mangonotch::http1
