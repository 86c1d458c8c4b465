#include "log_line_counter.hpp"

#include <algorithm>
#include <iostream>

namespace quota_gateway::scale {

LogLineCounter::LogLineCounter() : original_buffer_(std::cerr.rdbuf(this)) {}

LogLineCounter::~LogLineCounter() {
  std::cerr.rdbuf(original_buffer_);
}

int LogLineCounter::overflow(int character) {
  if (character == '\n') {
    ++lines_;
  }
  return 0;
}

std::streamsize LogLineCounter::xsputn(const char* text, std::streamsize size) {
  lines_ += std::uint64_t(std::count(text, text + size, '\n'));
  return size;
}

}  // namespace quota_gateway::scale
