#include "support/fake_counter.hpp"

namespace quota_gateway::net::testing {

void FakeCounter::on_input(PeerConnection& peer, std::string& pending) {
  last_peer = peer.shared_from_this();
  auto& reader = readers_[&peer];
  if (!reader) {
    reader.reset(redisReaderCreate(), redisReaderFree);
  }
  redisReaderFeed(reader.get(), pending.data(), pending.size());
  pending.clear();
  void* raw = nullptr;
  while (redisReaderGetReply(reader.get(), &raw) == REDIS_OK && raw != nullptr) {
    const std::unique_ptr<void, void (*)(void*)> owner(raw, freeReplyObject);
    const auto& message = *static_cast<redisReply*>(raw);
    Command command;
    for (std::size_t i = 0; i < message.elements; ++i) {
      command.emplace_back(message.element[i]->str, message.element[i]->len);
    }
    on_command(peer, command);
    if (!peer.socket.is_open()) {
      return;
    }
  }
}

void FakeCounter::on_command(PeerConnection& peer, const Command& command) {
  if (command[0] == "PING") {
    if (!silent) {
      peer.write("+PONG\r\n");
    }
    return;
  }
  calls.push_back(command);
  double& sum = totals[command[1]];
  sum += std::stod(command[2]);
  if (silent) {
    return;
  }
  if (calls_per_reset > 0 && calls.size() % calls_per_reset == 0) {
    peer.reset();
    return;
  }
  const std::string total = std::to_string(sum);
  peer.write(reply_override ? *reply_override
                            : "$" + std::to_string(total.size()) + "\r\n" + total + "\r\n");
}

}  // namespace quota_gateway::net::testing
