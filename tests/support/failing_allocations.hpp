// Makes allocations of the test itself fail at a chosen moment, where a step that finds no memory
// is to be forced. The test program's operator new is replaced for this.
#pragma once

namespace quota_gateway::net::testing {

// While an object exists, each operator new on the thread that made it throws std::bad_alloc.
class FailingAllocations {
 public:
  FailingAllocations();
  FailingAllocations(const FailingAllocations&) = delete;
  FailingAllocations& operator=(const FailingAllocations&) = delete;
  ~FailingAllocations();
};

}  // namespace quota_gateway::net::testing
