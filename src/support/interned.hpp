// Texts that many share, each kept once: nothing that decides.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace cottonroad {

class Interned {
 public:
  using Text = std::shared_ptr<const std::string>;

  Text take(const std::string& text) {
    Text& kept = texts_[text];
    if (!kept) kept = std::make_shared<const std::string>(text);
    return kept;
  }
  // Forgets those that nobody holds any longer.
  void purge() {
    std::erase_if(texts_, [](const auto& e) { return e.second.use_count() == 1; });
  }
  std::size_t size() const { return texts_.size(); }

 private:
  std::map<std::string, Text> texts_;
};

}  // namespace cottonroad
