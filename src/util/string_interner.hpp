// Texts in little memory: nothing that decides.
#pragma once

#include <cstdint>
#include <cstring>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quota_gateway {

// A text of any bytes that never changes, in one pointer and as many bytes as it needs.
class CompactString {
 public:
  explicit CompactString(std::string_view text)
      : bytes_(new char[sizeof(std::uint32_t) + text.size()]) {
    const auto size = std::uint32_t(text.size());
    std::memcpy(bytes_.get(), &size, sizeof size);
    if (size > 0) {
      std::memcpy(bytes_.get() + sizeof size, text.data(), size);
    }
  }
  operator std::string_view() const {
    std::uint32_t size = 0;
    std::memcpy(&size, bytes_.get(), sizeof size);
    return {bytes_.get() + sizeof size, size};
  }

 private:
  std::unique_ptr<char[]> bytes_;
};

// Texts that many share, each kept once and known by a number, while any holds it.
class StringInterner {
 public:
  std::uint32_t take(const std::string& text) {
    const auto [at, fresh] = numbers_.try_emplace(text, std::uint32_t(texts_.size()));
    if (fresh && !free_.empty()) {
      at->second = free_.back();
      free_.pop_back();
    } else if (fresh) {
      texts_.emplace_back();
    }
    if (fresh) {
      texts_[at->second].text = text;
    }
    ++texts_[at->second].held;
    return at->second;
  }
  // The number of a text that is held.
  std::optional<std::uint32_t> find(const std::string& text) const {
    const auto found = numbers_.find(text);
    return found != numbers_.end() ? std::optional(found->second) : std::nullopt;
  }
  void drop(std::uint32_t number) {
    if (--texts_[number].held > 0) {
      return;
    }
    numbers_.erase(texts_[number].text);
    texts_[number].text = {};
    free_.push_back(number);
  }
  const std::string& operator[](std::uint32_t number) const { return texts_[number].text; }
  std::size_t size() const { return numbers_.size(); }

 private:
  struct Held {
    std::string text;
    std::size_t held = 0;
  };
  std::deque<Held> texts_;  // by number
  std::vector<std::uint32_t> free_;
  std::unordered_map<std::string, std::uint32_t> numbers_;  // looked up, never walked
};

}  // namespace quota_gateway
