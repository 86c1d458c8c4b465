#include "util/random.hpp"

#include "util/hash.hpp"

namespace quota_gateway {

double uniform(std::uint64_t& state) {
  state = mix(state);
  return static_cast<double>(state >> 11) * 0x1p-53;  // a double has 53 bits of precision
}

}  // namespace quota_gateway
