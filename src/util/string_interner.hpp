// Interned strings: each distinct string is stored once and identified by a small integer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quota_gateway {

// Counts the references to each string. When the last reference is released, the string is removed
// and its id may be reused for another string.
class StringInterner {
 public:
  // Adds a reference to the string. Returns the id of the string, which is valid until `release`
  // has been called as often as `acquire`.
  std::uint32_t acquire(const std::string& text);

  // Removes a reference. The id must be valid.
  void release(std::uint32_t id);

  // Returns the id of the string, or nullopt if it has no references. Adds no reference.
  std::optional<std::uint32_t> find(const std::string& text) const;

  // Returns the string of a valid id. The returned reference is valid as long as the id.
  const std::string& operator[](std::uint32_t id) const { return entries_[id].text; }

  // Number of distinct strings that have references.
  std::size_t size() const { return ids_.size(); }

 private:
  struct Entry {
    std::string text;
    std::size_t reference_count = 0;
  };

  std::deque<Entry> entries_;  // by id
  std::vector<std::uint32_t> free_ids_;
  std::unordered_map<std::string, std::uint32_t> ids_;
};

}  // namespace quota_gateway
