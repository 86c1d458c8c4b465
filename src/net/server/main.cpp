// The gateway program: reads its configuration, then serves clients until SIGTERM or SIGINT.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include "net/config/config_loader.hpp"
#include "net/event_loop/exception_guard.hpp"
#include "net/log/async_log.hpp"
#include "net/memory/system_memory.hpp"
#include "net/server/config_reloader.hpp"
#include "net/server/config_source.hpp"
#include "net/server/gateway_server.hpp"
#include "net/server/signal_handler.hpp"
#include "net/system_call/descriptor_limit.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::size_t kBytesPerMegabyte = 1 << 20;

// How soon the timers are set again that could not be set.
constexpr std::chrono::milliseconds kTimerRetryInterval{10};

// Logs an exception that leaves a handler and continues: it would otherwise end the process with
// all requests in flight. Without timers nothing would look for interrupted work, so this loop
// does. run_for() costs more for each handler than run(), so it is used only then.
void run_until_stopped(boost::asio::io_context& io, GatewayServer& server) {
  while (!io.stopped()) {
    run_and_log_exceptions("exception in the event loop", [&] {
      if (server.has_timers()) {
        io.run();
      } else {
        io.run_for(kTimerRetryInterval);
      }
    });
    run_and_log_exceptions("resuming work", [&] { server.resume_work(); });
  }
}

void serve() {
  std::optional<HangUpBlock> hang_up_block(std::in_place);
  ConfigFile file = read_config_file();
  GatewayConfig config = make_config(file.tree);
  config.max_sockets = usable_descriptors(config.max_sockets);
  config.persisted_endpoints = std::move(file.known_endpoints);
  const std::string name = config.name;
  boost::asio::io_context io(1);
  SignalHandler signals(io);
  hang_up_block.reset();
  SystemMemory memory(config.memory_limit_mb * kBytesPerMegabyte);
  GatewayServer server(io, std::move(config), &memory);
  ConfigReloader reloader(io, server, name, std::move(file.tree));
  const auto drain = [&] {
    std::cerr << name << ": draining\n";
    server.drain([&io] { io.stop(); });
  };
  signals.start({drain, [&reloader] { reloader.start(); }});
  server.resume_with([&signals] { return signals.resume(); });
  std::cerr << name << ": ready\n";
  run_until_stopped(io, server);
}

}  // namespace
}  // namespace quota_gateway::net

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  const quota_gateway::net::AsyncLog log(STDERR_FILENO);
  try {
    quota_gateway::net::serve();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "quota_gateway: " << e.what() << '\n';
    return 1;
  }
}
