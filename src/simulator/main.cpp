// quota_gateway_simulator_adapter: runs the decision module under the operators' simulator.
// One line of JSON in, one line out, until the input ends.
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
  } catch (const std::exception& e) {
    std::cerr << "quota_gateway_simulator_adapter: " << e.what() << '\n';
    return 1;
  }
  return 0;
}
