// quota_gateway_simulator_adapter: runs the decision module under the operators' simulator.
// Reads one JSON message per line from standard input until its end, and writes the reply, if the
// message has one, as one line to standard output. Exits with status 1 on a malformed message.
#include <exception>
#include <iostream>
#include <string>

#include "simulator/simulator_session.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    quota_gateway::simulator::SimulatorSession session;
    std::string line;
    while (std::getline(std::cin, line)) {
      if (const auto reply = session.process_line(line)) {
        std::cout << *reply << '\n' << std::flush;
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "quota_gateway_simulator_adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
