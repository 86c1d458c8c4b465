#include "event_loop_thread.hpp"

#include <pthread.h>

#include "clocks.hpp"

namespace quota_gateway::scale {

EventLoopThread::EventLoopThread()
    : io_(1), work_(io_.get_executor()), thread_([this] { io_.run(); }) {}

EventLoopThread::~EventLoopThread() {
  io_.stop();
  thread_.join();
  while (!objects_.empty()) {
    objects_.pop_back();
  }
}

Micros EventLoopThread::cpu_time() const {
  clockid_t clock{};
  if (pthread_getcpuclockid(thread_.native_handle(), &clock) != 0) {
    return 0;
  }
  return clock_time(clock);
}

}  // namespace quota_gateway::scale
