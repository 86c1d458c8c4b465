#include "fake_counter_connection.hpp"

#include <utility>

#include "resp_command.hpp"

namespace quota_gateway::scale {

FakeCounterConnection::FakeCounterConnection(boost::asio::ip::tcp::socket socket,
                                             FakeConnections& open_connections, Traffic& traffic,
                                             CommandHandler on_command)
    : FakeConnection(std::move(socket), open_connections, traffic),
      on_command_(std::move(on_command)) {}

std::uint64_t FakeCounterConnection::reserve_reply() {
  replies_.emplace_back();
  return first_slot_ + replies_.size() - 1;
}

void FakeCounterConnection::complete_reply(std::uint64_t slot, std::string reply) {
  replies_.at(std::size_t(slot - first_slot_)) = std::move(reply);
  while (!replies_.empty() && replies_.front()) {
    ready_ += *replies_.front();
    replies_.pop_front();
    ++first_slot_;
  }
  if (!is_handling_commands_) {
    send_ready();
  }
}

void FakeCounterConnection::on_received(std::string& received) {
  is_handling_commands_ = true;
  std::string_view rest = received;
  while (is_open()) {
    const RespCommand command = parse_resp_command(rest);
    if (command.status == RespCommand::Status::kMalformed) {
      reset();
    }
    if (command.status != RespCommand::Status::kComplete) {
      break;
    }
    rest.remove_prefix(command.size);
    on_command_(std::static_pointer_cast<FakeCounterConnection>(shared_from_this()), command.words);
  }
  received.erase(0, received.size() - rest.size());
  is_handling_commands_ = false;
  send_ready();
}

void FakeCounterConnection::send_ready() {
  if (!ready_.empty()) {
    send(std::exchange(ready_, {}));
  }
}

}  // namespace quota_gateway::scale
