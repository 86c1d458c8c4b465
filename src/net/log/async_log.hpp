// Writes what the program logs to std::cerr on a thread of its own: a log that is read slowly, or
// not at all, does not hold up the event loop. Lines for which there is no room are dropped and
// counted. Nothing is allocated for a line, so that a lack of memory loses none.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <streambuf>
#include <thread>

namespace quota_gateway::net {

// While an object exists, complete lines that are written to std::cerr are passed to the thread.
// Only one thread may write to std::cerr.
class AsyncLog {
 public:
  // Bytes of lines that wait to be written.
  static constexpr std::size_t kMaxPendingBytes = 64 << 10;
  // The rest of a longer line is cut off.
  static constexpr std::size_t kMaxLineBytes = 4 << 10;
  // How long the end of the program waits for lines that are not written.
  static constexpr std::chrono::milliseconds kMaxFlushTime{100};

  // `descriptor`: where the lines are written; must stay open. If no thread can be started, the
  // lines are written as before.
  explicit AsyncLog(int descriptor);
  AsyncLog(const AsyncLog&) = delete;
  AsyncLog& operator=(const AsyncLog&) = delete;
  ~AsyncLog();

 private:
  struct Queue;

  // Collects the characters of one line.
  class LineBuffer final : public std::streambuf {
   public:
    explicit LineBuffer(Queue& queue) : queue_(queue) {}

   protected:
    int_type overflow(int_type character) override;
    std::streamsize xsputn(const char* text, std::streamsize size) override;

   private:
    void add(char character);

    Queue& queue_;
    std::array<char, kMaxLineBytes> line_{};
    std::size_t size_ = 0;
  };

  static void write_lines(const std::shared_ptr<Queue>& queue);

  std::shared_ptr<Queue> queue_;  // shared with the thread, which may outlive this object
  LineBuffer buffer_;
  std::streambuf* previous_buffer_ = nullptr;
  std::thread thread_;
};

}  // namespace quota_gateway::net
