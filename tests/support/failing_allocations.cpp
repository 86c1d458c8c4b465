#include "support/failing_allocations.hpp"

#include <cstddef>
#include <cstdlib>
#include <new>

namespace quota_gateway::net::testing {
namespace {

thread_local bool allocations_fail = false;

}  // namespace

FailingAllocations::FailingAllocations() {
  allocations_fail = true;
}

FailingAllocations::~FailingAllocations() {
  allocations_fail = false;
}

}  // namespace quota_gateway::net::testing

void* operator new(std::size_t size) {
  void* const block =
      quota_gateway::net::testing::allocations_fail ? nullptr : std::malloc(size == 0 ? 1 : size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  return block;
}

void operator delete(void* block) noexcept {
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  std::free(block);
}
