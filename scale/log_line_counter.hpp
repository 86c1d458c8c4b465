// Counts the lines that are written to std::cerr instead of printing them, because thousands of
// simulated gateways in one process would all write there. Owned by TestFleet or by a test.
#pragma once

#include <atomic>
#include <cstdint>
#include <ios>
#include <streambuf>

namespace quota_gateway::scale {

// Redirects std::cerr during its lifetime. Must be created before the threads that log and
// destroyed after them; lines() may be called from any thread.
class LogLineCounter : private std::streambuf {
 public:
  LogLineCounter();
  ~LogLineCounter() override;
  LogLineCounter(const LogLineCounter&) = delete;
  LogLineCounter& operator=(const LogLineCounter&) = delete;

  std::uint64_t lines() const { return lines_; }

 private:
  int overflow(int character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

  std::streambuf* const original_buffer_;
  std::atomic<std::uint64_t> lines_{0};
};

}  // namespace quota_gateway::scale
