#include "net/hot_restart/hot_restart.hpp"

#include <chrono>
#include <iostream>
#include <string_view>
#include <utility>

#include "net/system_call/register_descriptor.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// During an upgrade, an old version of the program passes its listening socket to a new one through
// this Unix socket. The name of the Unix socket and its packets therefore keep the former name of
// the product: with other names a new version would not find an old one, and connections would be
// lost. A version that needs different packets must use another number than 1 after the name.
constexpr std::string_view kSocketName = "/cottonroad.sock";
constexpr std::string_view kIdentityPrefix = "cottonroad/1 ";
constexpr std::string_view kWelcomePacket = "cottonroad/1 welcome";
constexpr std::string_view kReadyPacket = "cottonroad/1 ready";

// If the parent does not answer within this time, the process opens its own listening socket.
constexpr auto kParentAnswerTimeout = std::chrono::milliseconds(500);
// A process that connects must send its identity within this time; otherwise its connection is
// closed.
constexpr Micros kChildIdentityTimeout = 500'000;

std::string socket_path(const std::string& directory) {
  return directory.empty() ? std::string() : directory + std::string(kSocketName);
}

std::string identity_packet(const std::string& gateway_name, const tcp::endpoint& client_address) {
  return std::string(kIdentityPrefix) + gateway_name + ' ' + client_address.address().to_string() +
         ':' + std::to_string(client_address.port());
}

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, Timers& timers, const std::string& directory,
                       const std::string& gateway_name, const tcp::endpoint& client_address,
                       std::function<void()> on_change)
    : io_(io),
      timers_(timers),
      socket_path_(socket_path(directory)),
      identity_packet_(identity_packet(gateway_name, client_address)),
      client_address_(client_address),
      on_change_(std::move(on_change)) {
  find_parent();
}

std::unique_ptr<HotRestart::Descriptor> HotRestart::watched(OwnedDescriptor descriptor) {
  auto watched = std::make_unique<Descriptor>(io_);
  const error_code failed =
      register_descriptor([&](error_code& ec) { watched->assign(descriptor.get(), ec); });
  if (failed) {
    std::cerr << "hot restart: cannot watch the link to another process of this gateway: "
              << failed.message() << "; the link is closed\n";
    return nullptr;
  }
  descriptor.release();
  return watched;
}

// ---- The parent

// Connects to the parent and receives its listening socket. No parent is found if the path is an
// abandoned socket or a file, if an unrelated process listens there, or if the parent ends before
// it has answered; the process then opens its own listening socket.
void HotRestart::find_parent() {
  OwnedDescriptor link = connect_packet_socket(socket_path_);
  if (!link.is_open() || !is_peer_same_user(link.get()) ||
      !send_packet(link.get(), identity_packet_)) {
    return;
  }
  Packet answer = receive_packet_within(link.get(), kParentAnswerTimeout);
  if (answer.text != kWelcomePacket || !answer.descriptor.is_open() ||
      !is_listening_at(answer.descriptor.get(), client_address_)) {
    std::cerr << "hot restart: the process at " << socket_path_
              << " passed no usable listening socket; opening a new one\n";
    return;
  }
  inherited_listener_ = std::move(answer.descriptor);
  parent_ = watched(std::move(link));
  if (parent_) {
    watch_parent();
  }
}

// Waits for the end of the parent, which sends no further packets.
void HotRestart::watch_parent() {
  wait_readable(*parent_, [this](error_code ec) {
    if (ec || !parent_) {
      return;
    }
    if (!receive_packet(parent_->native_handle()).is_end_of_stream) {
      return watch_parent();
    }
    parent_.reset();
    on_change_();
  });
}

std::optional<int> HotRestart::take_inherited_listener() {
  if (!inherited_listener_.is_open()) {
    return std::nullopt;
  }
  return inherited_listener_.release();
}

void HotRestart::notify_parent_ready() {
  if (parent_) {
    send_packet(parent_->native_handle(), kReadyPacket);
  }
}

// ---- The child

void HotRestart::listen_for_child(int listening_socket) {
  listening_socket_ = listening_socket;
  if (socket_path_.empty()) {
    return;
  }
  OwnedDescriptor acceptor = listen_packet_socket(socket_path_);
  if (!acceptor.is_open()) {
    std::cerr << "hot restart: cannot listen at " << socket_path_
              << "; a new process of this gateway will open its own listening socket\n";
    return;
  }
  child_acceptor_ = watched(std::move(acceptor));
  if (child_acceptor_) {
    accept_child();
  }
}

void HotRestart::accept_child() {
  wait_readable(*child_acceptor_, [this](error_code ec) {
    if (ec) {
      return;
    }
    OwnedDescriptor candidate = accept_packet_socket(child_acceptor_->native_handle());
    if (candidate.is_open() && is_peer_same_user(candidate.get())) {
      await_child_identity(watched(std::move(candidate)));
    }
    accept_child();
  });
}

void HotRestart::await_child_identity(const std::shared_ptr<Descriptor>& candidate) {
  if (!candidate) {
    return;
  }
  wait_readable(*candidate, [this, candidate](error_code ec) {
    if (!ec) {
      on_child_identity(*candidate);
    }
  });
  timers_.after(kChildIdentityTimeout, [weak = std::weak_ptr<Descriptor>(candidate)] {
    error_code ignored;
    if (const auto unidentified = weak.lock(); unidentified && unidentified->is_open()) {
      unidentified->cancel(ignored);
    }
  });
}

void HotRestart::on_child_identity(Descriptor& candidate) {
  const Packet packet = receive_packet(candidate.native_handle());
  // Only one child is accepted at a time. A second one, or a process of another gateway, gets no
  // answer.
  if (packet.text != identity_packet_ || child_) {
    return;
  }
  child_ = std::make_unique<Descriptor>(std::move(candidate));
  // Called before the welcome packet is sent: after receiving it the child may serve, and by then
  // this process must have reduced its limits to its share.
  on_change_();
  if (child_) {
    send_packet(child_->native_handle(), kWelcomePacket, listening_socket_);
  }
  if (child_) {
    watch_child();
  }
}

void HotRestart::watch_child() {
  wait_readable(*child_, [this](error_code ec) {
    if (!ec && child_) {
      on_child_packet();
    }
  });
}

void HotRestart::on_child_packet() {
  const Packet packet = receive_packet(child_->native_handle());
  const bool is_ready = packet.text == kReadyPacket;
  if (is_ready) {
    child_accepting_ = true;
  }
  if (packet.is_end_of_stream) {
    child_.reset();
    child_accepting_ = false;
  }
  if (packet.is_end_of_stream || is_ready) {
    on_change_();
  }
  if (child_) {
    watch_child();
  }
}

}  // namespace quota_gateway::net
