// An event loop with a thread of its own, whose processor time is what the objects on it spend.
// The fakes and the simulated gateways live on such loops; the scenario's thread owns the loop and
// reaches what is on it through run() only.
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

class EventLoopThread {
 public:
  EventLoopThread();
  // Ends the thread, then the objects on it, the last one first.
  ~EventLoopThread();
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  boost::asio::io_context& io() { return io_; }

  // Runs the function on the loop, waits for it and returns what it returns or throws. Not to be
  // called on the loop itself, where it would wait for ever.
  template <typename Function>
  decltype(auto) run(Function function) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    boost::asio::post(io_, [&task] { task(); });
    return result.get();
  }

  // Makes an Object(io, arguments...) on the loop. It lives as long as the loop does.
  template <typename Object, typename... Arguments>
  Object& emplace(Arguments&&... arguments) {
    return run([&]() -> Object& {
      auto object = std::make_shared<Object>(io_, std::forward<Arguments>(arguments)...);
      objects_.push_back(object);
      return *object;
    });
  }

  // Processor time of the thread so far, in microseconds; 0 if the system does not know it.
  Micros cpu_time() const;

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::vector<std::shared_ptr<void>> objects_;
  // Not const, since its native handle is asked for in cpu_time().
  mutable std::thread thread_;
};

}  // namespace quota_gateway::scale
