#include "util/string_interner.hpp"

namespace quota_gateway {

std::uint32_t StringInterner::acquire(const std::string& text) {
  const auto next_id = static_cast<std::uint32_t>(entries_.size());
  const auto [found, is_new] = ids_.try_emplace(text, next_id);
  std::uint32_t& id = found->second;
  if (is_new) {
    if (free_ids_.empty()) {
      entries_.emplace_back();
    } else {
      id = free_ids_.back();
      free_ids_.pop_back();
    }
    entries_[id].text = text;
  }
  ++entries_[id].reference_count;
  return id;
}

void StringInterner::release(std::uint32_t id) {
  Entry& entry = entries_[id];
  --entry.reference_count;
  if (entry.reference_count > 0) {
    return;
  }
  ids_.erase(entry.text);
  entry.text = {};
  free_ids_.push_back(id);
}

std::optional<std::uint32_t> StringInterner::find(const std::string& text) const {
  const auto found = ids_.find(text);
  if (found == ids_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace quota_gateway
