// Hands a task to an Asio context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace mangonotch::http1 {

/// Runs `task` later on the thread of `context`; safe from every thread.
template <typename Task>
void Post(boost::asio::io_context& context, Task task) {
// Asio's default argument is a literal 0 for a pointer.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"
  boost::asio::post(context, std::move(task));
#pragma GCC diagnostic pop
}

}  // namespace mangonotch::http1
