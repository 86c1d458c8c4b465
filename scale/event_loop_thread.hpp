// An event loop with a thread of its own, so that the thread's CPU time is that of the objects on
// the loop. The fakes and the simulated gateways run on such loops. The scenario's thread owns the
// loop and accesses its objects only through run().
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Runs an event loop and owns the objects on it.
class EventLoopThread {
 public:
  EventLoopThread();
  // Ends the thread, then destroys the objects in reverse order of their creation.
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  boost::asio::io_context& io() { return io_; }

  // Runs the function on the loop, waits for it, and returns its result or rethrows its exception.
  // Must not be called on the loop itself: the call would wait forever.
  template <typename Function>
  decltype(auto) run(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(io_, [&task] { task(); });
    return result.get();
  }

  // Creates an Object(io, arguments...) on the loop. The object lives as long as the loop.
  template <typename Object, typename... Arguments>
  Object& emplace(Arguments&&... arguments) {
    return run([&]() -> Object& {
      auto object = std::make_shared<Object>(io_, std::forward<Arguments>(arguments)...);
      objects_.push_back(object);
      return *object;
    });
  }

  // Returns the CPU time of the thread in microseconds; 0 if the system does not provide it.
  Micros cpu_time() const;

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::vector<std::shared_ptr<void>> objects_;
  // Mutable because cpu_time() is const and std::thread::native_handle() is not.
  mutable std::thread thread_;
};

}  // namespace quota_gateway::scale
