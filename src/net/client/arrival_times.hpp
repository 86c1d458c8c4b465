// When the unparsed bytes of one client connection arrived. The time of a request counts from its
// last byte, also if the client sent the request behind another one and it is parsed much later.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class ArrivalTimes {
 public:
  // `size` bytes have arrived at `arrived_at` or later, behind `unparsed` bytes that had arrived
  // before.
  void on_received(std::size_t size, std::size_t unparsed, Micros arrived_at);
  // Returns when the last parsed byte arrived, or up to kResolution earlier. `unparsed` bytes
  // follow it; some byte must have been parsed since the previous call with none unparsed.
  Micros of_last_parsed(std::size_t unparsed);

  // Returns when the byte with that offset behind the last parsed one arrived, or up to kResolution
  // earlier. It must be one of the `unparsed` bytes.
  Micros of_unparsed(std::size_t offset, std::size_t unparsed) const;

  // Bytes that arrive within this time count as one arrival, which limits the memory.
  static constexpr Micros kResolution = 10'000;  // us

 private:
  struct Arrival {
    std::uint64_t end;  // number of bytes of the connection up to the last one of this arrival
    Micros at;
  };
  std::vector<Arrival> arrivals_;
  std::uint64_t received_ = 0;  // number of bytes of the connection
};

}  // namespace quota_gateway::net
