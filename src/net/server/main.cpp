// One real gateway: configuration, signals, the loop.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/config/config_key_check.hpp"
#include "net/config/config_loader.hpp"
#include "net/config/config_parser.hpp"
#include "net/server/gateway_server.hpp"

namespace {

using quota_gateway::net::ConfigLoader;

std::ifstream open_file() {
  const char* path = std::getenv("RELAY_CONFIG");
  if (!path || !*path) {
    throw std::runtime_error("RELAY_CONFIG is not set");
  }
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error(std::string("cannot read ") + path);
  }
  return file;
}

quota_gateway::net::GatewayConfig parse(const nlohmann::json& tree) {
  auto config = quota_gateway::net::parse_config(tree);
  const char* mgmt = std::getenv("RELAY_MGMT");
  const char* folder = std::getenv("TMPDIR");
  if (folder) {
    config.shared_directory = folder;
  }
  if (!config.admin_address && mgmt && *mgmt) {
    config.admin_address = quota_gateway::net::parse_socket_address(mgmt);
  }
  return config;
}

quota_gateway::net::ConfigFile read_at_start() {
  auto file = open_file();
  ConfigLoader reader(file, ConfigLoader::KnownMembers::kKeep);
  while (reader.parse_chunk()) {
  }
  return reader.finish();
}

// Danger: an exception that leaves the loop would take all held requests with it.
void run(boost::asio::io_context& io) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& e) {
      std::cerr << "loop: " << e.what() << '\n';
    }
  }
}

// SIGHUP: the file is read and checked whole first; on any error what runs goes on as it was.
class Reload {
 public:
  // `taken`: the tree of the last file that was.
  Reload(boost::asio::io_context& io, quota_gateway::net::GatewayServer& driver, std::string name,
         nlohmann::json taken)
      : io_(io), driver_(driver), name_(std::move(name)), taken_(std::move(taken)) {}

  // What is being read already is read anew: it may have been replaced meanwhile.
  void start() {
    attempt([&] {
      reader_.reset();
      file_ = open_file();
      reader_.emplace(file_, ConfigLoader::KnownMembers::kCheckOnly);
      if (!std::exchange(posted_, true)) {
        go_on();
      }
    });
  }

 private:
  template <typename What>
  void attempt(const What& what) {
    try {
      what();
    } catch (const std::exception& e) {
      reader_.reset();
      driver_.reload_failed();
      std::cerr << name_ << ": configuration kept: " << e.what() << '\n';
    }
  }
  // Danger: a file with 170,000 servers takes half a second; requests go on meanwhile.
  void go_on() {
    boost::asio::post(io_, [this] {
      posted_ = false;
      if (!reader_) {
        return;
      }
      attempt([&] {
        if (!reader_->parse_chunk()) {
          return take();
        }
        posted_ = true;
        go_on();
      });
    });
  }
  void take() {
    auto file = reader_->finish();
    reader_.reset();
    quota_gateway::net::check_keys_kept(taken_, file.tree);
    driver_.reload(parse(file.tree));
    taken_ = std::move(file.tree);
    std::cerr << name_ << ": configuration reloaded\n";
  }

  boost::asio::io_context& io_;
  quota_gateway::net::GatewayServer& driver_;
  const std::string name_;
  nlohmann::json taken_;
  std::ifstream file_;
  std::optional<ConfigLoader> reader_;
  bool posted_ = false;
};

void on_signals(boost::asio::signal_set& signals, const std::function<void(int)>& act) {
  signals.async_wait([&signals, act](const boost::system::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    on_signals(signals, act);
    act(signal);
  });
}

int main_loop() {
  auto file = read_at_start();
  auto config = parse(file.tree);
  config.persisted_endpoints = std::move(file.known);
  const std::string name = config.name;
  boost::asio::io_context io(1);
  // First of all: a SIGHUP that nobody handles ends the process.
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  quota_gateway::net::GatewayServer driver(io, std::move(config));
  Reload reload(io, driver, name, std::move(file.tree));
  on_signals(signals, [&](int signal) {
    if (signal == SIGHUP) {
      return reload.start();
    }
    std::cerr << name << ": draining\n";
    driver.drain([&] { io.stop(); });
  });
  std::cerr << name << ": ready\n";
  run(io);
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return main_loop();
  } catch (const std::exception& e) {
    std::cerr << "quota_gateway: " << e.what() << '\n';
    return 1;
  }
}
