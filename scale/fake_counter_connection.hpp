// A client's connection to FakeCounter: splits what it receives into commands and sends replies in
// the order of the commands, whichever is ready first. Owned by FakeCounter through its
// connections.
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

class FakeCounterConnection : public FakeConnection {
 public:
  // May call all of the connection's functions; the words are valid until it returns.
  using CommandHandler = std::function<void(const std::shared_ptr<FakeCounterConnection>&,
                                            const std::vector<std::string_view>& words)>;

  FakeCounterConnection(boost::asio::ip::tcp::socket socket, FakeConnections& open_connections,
                        Traffic& traffic, CommandHandler on_command);

  // Takes the next place among the replies, which is to be filled once.
  std::uint64_t reserve_reply();
  void complete_reply(std::uint64_t slot, std::string reply);

 protected:
  void on_received(std::string& received) override;

 private:
  void send_ready();

  const CommandHandler on_command_;
  // Replies that are not sent; none where it is not known yet.
  std::deque<std::optional<std::string>> replies_;
  // The slot of the first of them.
  std::uint64_t first_slot_ = 0;
  // Replies of one turn leave in one write.
  std::string ready_;
  bool is_handling_commands_ = false;
};

}  // namespace quota_gateway::scale
