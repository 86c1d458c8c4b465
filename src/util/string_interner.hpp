// Strings that many hold, each stored once and known by a small number.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quota_gateway {

// Counts the holders of each string and forgets it with the last of them; its id may then be used
// for another.
class StringInterner {
 public:
  // Adds a holder. Returns the id of the string, which stays until it is released as often as it
  // was acquired.
  std::uint32_t acquire(const std::string& text);

  // Removes a holder of an id that is held.
  void release(std::uint32_t id);

  // The id of a string that is held. Adds no holder.
  std::optional<std::uint32_t> find(const std::string& text) const;

  // The string of an id that is held. The reference is valid while it is.
  const std::string& operator[](std::uint32_t id) const { return entries_[id].text; }

  // How many different strings are held.
  std::size_t size() const { return ids_.size(); }

 private:
  struct Entry {
    std::string text;
    std::size_t holders = 0;
  };

  std::deque<Entry> entries_;  // by id
  std::vector<std::uint32_t> free_ids_;
  std::unordered_map<std::string, std::uint32_t> ids_;
};

}  // namespace quota_gateway
