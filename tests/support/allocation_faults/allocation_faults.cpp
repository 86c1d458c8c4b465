// A library that is loaded into a gateway process (LD_PRELOAD) and makes allocations fail with
// ENOMEM, as the system does when it has no memory to give.
//
// ALLOCATION_FAULTS holds five numbers: the share of the calls that fail, from 0 to 1; for how many
// milliseconds of each second all calls fail; how many milliseconds after the start of the process
// the faults begin; a seed; and whether the program gets no mappings of its own (1), which leaves
// the gateway without its reserve.
#include <dlfcn.h>
#include <sys/mman.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>

// The allocator of the C library under its second names.
extern "C" void* __libc_malloc(std::size_t size);                           // NOLINT
extern "C" void* __libc_calloc(std::size_t count, std::size_t size);        // NOLINT
extern "C" void* __libc_realloc(void* block, std::size_t size);             // NOLINT
extern "C" void* __libc_memalign(std::size_t alignment, std::size_t size);  // NOLINT

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1'000;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

struct AllocationFaultPlan {
  double rate = 0;
  int outage_ms = 0;  // of each second
  int delay_ms = 0;
  unsigned seed = 1;
  int denies_mappings = 0;
};

std::int64_t now_ms() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kMillisecondsPerSecond + now.tv_nsec / kNanosecondsPerMillisecond;
}

// Plain data, since it is used before any constructor has run and must not allocate.
AllocationFaultPlan plan;
std::int64_t begin_ms = INT64_MAX;
std::uint64_t random_state = 1;

// The generator xorshift64*, from 0 to 1.
double draw() {
  random_state ^= random_state >> 12;
  random_state ^= random_state << 25;
  random_state ^= random_state >> 27;
  return double((random_state * 0x2545F4914F6CDD1DULL) >> 11) / double(1ULL << 53);
}

[[gnu::constructor]] void read_plan() {
  const char* const text = std::getenv("ALLOCATION_FAULTS");
  if (text == nullptr || std::sscanf(text, "%lf %d %d %u %d", &plan.rate, &plan.outage_ms,
                                     &plan.delay_ms, &plan.seed, &plan.denies_mappings) != 5) {
    return;
  }
  random_state = plan.seed * 0x9E3779B97F4A7C15ULL + 1;
  begin_ms = now_ms() + plan.delay_ms;
}

bool allocation_fails() {
  if (begin_ms == INT64_MAX) {
    return false;
  }
  const std::int64_t elapsed = now_ms() - begin_ms;
  const bool is_outage = elapsed % kMillisecondsPerSecond < plan.outage_ms;
  if (elapsed < 0 || (!is_outage && draw() >= plan.rate)) {
    return false;
  }
  errno = ENOMEM;
  return true;
}

}  // namespace

extern "C" {

void* malloc(std::size_t size) {
  return allocation_fails() ? nullptr : __libc_malloc(size);
}

void* calloc(std::size_t count, std::size_t size) {
  return allocation_fails() ? nullptr : __libc_calloc(count, size);
}

void* realloc(void* block, std::size_t size) {
  return allocation_fails() ? nullptr : __libc_realloc(block, size);
}

void* aligned_alloc(std::size_t alignment, std::size_t size) {
  return allocation_fails() ? nullptr : __libc_memalign(alignment, size);
}

// The allocator of the C library makes its own mappings by another name.
void* mmap(void* address, std::size_t size, int protection, int flags, int fd, off_t offset) {
  if (plan.denies_mappings != 0) {
    errno = ENOMEM;
    return MAP_FAILED;
  }
  using Mmap = decltype(::mmap);
  static auto* const next = reinterpret_cast<Mmap*>(::dlsym(RTLD_NEXT, "mmap"));
  return next(address, size, protection, flags, fd, offset);
}

}  // extern "C"
