// A client's connection to FakeCounter. It splits received bytes into commands and sends the
// replies in the order of the commands, in whichever order they are completed. Owned by FakeCounter
// through its FakeConnections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fake_connection.hpp"

namespace quota_gateway::scale {

// Parses commands and orders replies.
class FakeCounterConnection : public FakeConnection {
 public:
  // Handles one command. May call all functions of the connection; `words` is valid until the
  // handler returns.
  using CommandHandler = std::function<void(const std::shared_ptr<FakeCounterConnection>&,
                                            const std::vector<std::string_view>& words)>;

  FakeCounterConnection(boost::asio::ip::tcp::socket socket, FakeConnections& open_connections,
                        Traffic& traffic, CommandHandler on_command);

  // Reserves the next position among the replies and returns its slot, which must be passed to
  // complete_reply() once.
  std::uint64_t reserve_reply();
  void complete_reply(std::uint64_t slot, std::string reply);

 protected:
  void on_received(std::string& received) override;

 private:
  void send_ready();

  const CommandHandler on_command_;
  // Replies that are not sent yet; empty if the reply is not known yet.
  std::deque<std::optional<std::string>> replies_;
  // The slot of the first element of replies_.
  std::uint64_t first_slot_ = 0;
  // Completed replies, which are sent together in one write.
  std::string ready_;
  bool is_handling_commands_ = false;
};

}  // namespace quota_gateway::scale
