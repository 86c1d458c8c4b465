// Hashes, fading means and random numbers, and text from parts: nothing that decides.
#pragma once

#include <cmath>
#include <cstdint>
#include <sstream>
#include <string>

#include "cottonroad/gateway.hpp"

namespace cottonroad {

inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hash_text(const std::string& text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char ch : text) h = (h ^ ch) * 0x100000001b3ULL;
  return mix(h);
}

inline double fade(Micros age, Micros memory) { return std::exp(-double(age) / double(memory)); }

inline double uniform(std::uint64_t& random) { return double((random = mix(random)) >> 11) * 0x1p-53; }

std::string join(const auto&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  return text.str();
}

}  // namespace cottonroad
