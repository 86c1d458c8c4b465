#include "net/server/config_reloader.hpp"

#include <boost/asio/post.hpp>
#include <exception>
#include <iostream>
#include <utility>

#include "net/config/config_key_check.hpp"
#include "net/server/config_source.hpp"

namespace quota_gateway::net {

ConfigReloader::ConfigReloader(boost::asio::io_context& io, GatewayServer& server,
                               std::string gateway_name, nlohmann::json applied_tree)
    : io_(io),
      server_(server),
      gateway_name_(std::move(gateway_name)),
      applied_tree_(std::move(applied_tree)) {}

void ConfigReloader::start() {
  run_step([this] {
    loader_.reset();
    file_ = open_config_file();
    loader_.emplace(file_, ConfigLoader::EndpointRetention::kCheckOnly);
    if (!chunk_posted_) {
      post_next_chunk();
    }
  });
}

// Reads one chunk per turn of the event loop, so that requests are served in between: reading a
// file with 170,000 endpoints takes half a second.
void ConfigReloader::post_next_chunk() {
  chunk_posted_ = true;
  boost::asio::post(io_, [this] {
    chunk_posted_ = false;
    if (loader_) {
      run_step([this] { read_chunk(); });
    }
  });
}

void ConfigReloader::read_chunk() {
  if (loader_->parse_chunk()) {
    post_next_chunk();
  } else {
    apply();
  }
}

void ConfigReloader::apply() {
  ConfigFile file = loader_->finish();
  loader_.reset();
  check_keys_kept(applied_tree_, file.tree);
  server_.reload(make_config(file.tree));
  applied_tree_ = std::move(file.tree);
  std::cerr << gateway_name_ << ": configuration reloaded\n";
}

// Runs one step of the reload. An exception ends the reload and is logged.
template <typename Step>
void ConfigReloader::run_step(const Step& step) {
  try {
    step();
  } catch (const std::exception& e) {
    loader_.reset();
    server_.on_reload_rejected();
    std::cerr << gateway_name_
              << ": configuration reload failed, the previous one stays in force: " << e.what()
              << '\n';
  }
}

}  // namespace quota_gateway::net
