// The limit that the system sets on the file descriptors of this process. Stateless.
#pragma once

#include <cstddef>

namespace quota_gateway::net {

// Returns the smaller one of `configured` and the number of descriptors that the system allows.
// Logs if that is less than configured.
std::size_t usable_descriptors(std::size_t configured);

}  // namespace quota_gateway::net
