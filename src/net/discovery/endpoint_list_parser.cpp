#include "net/discovery/endpoint_list_parser.hpp"

#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <utility>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr std::size_t kMostMember = 64 << 10;  // bytes
constexpr std::size_t kMostKey = 256;          // bytes of a key that are looked at

constexpr bool is_space(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

EndpointState parse_state(const std::string& phase) {
  if (phase == "draining") {
    return EndpointState::kDraining;
  }
  if (phase == "removed") {
    return EndpointState::kRemoved;
  }
  if (phase == "up") {
    return EndpointState::kUp;
  }
  throw std::runtime_error("unknown phase " + phase);
}

// Danger: a key may be written with escapes; what is looked for has to be found all the same.
std::string key_of(const std::string& token) {
  if (token.size() >= kMostKey || token.find('\\') == std::string::npos) {
    return token;
  }
  return json::parse('"' + token + '"').get<std::string>();
}

// Parses a member without a tree, which takes twice the time. A key that comes twice counts as it
// came last.
class MemberHandler {
 public:
  void reset() {
    depth_ = 0;
    shape_ = 0;
    has_id_ = has_phase_ = has_address_ = false;
    member_.entry.zone.clear();
    member_.entry.cell = member_.entry.started_at = 0;
    member_.entry.weight = 1;
    member_.address = {};
  }
  // Of its keys and the kinds of its values.
  std::uint64_t shape() const { return shape_; }
  const ListedEndpoint& member() {
    if (!has_id_ || !has_phase_) {
      throw std::runtime_error("a member without id or phase");
    }
    CompactEndpointEntry& e = member_.entry;
    e.state = parse_state(phase_);
    if (e.state != EndpointState::kRemoved || has_address_) {
      if (!has_address_) {
        throw std::runtime_error("no address of '" + e.server + "'");
      }
      member_.address = parse_socket_address(address_);
    }
    return member_;
  }

  bool null() { return other('n'); }
  bool boolean(bool) { return other('b'); }
  bool number_integer(std::int64_t value) { return number(double(value), value); }
  bool number_unsigned(std::uint64_t value) {
    return number(double(value), std::int64_t(std::min<std::uint64_t>(value, kMost)));
  }
  bool number_float(double value, const std::string&) {
    return number(value, std::abs(value) < double(kMost) ? std::int64_t(value) : kMost);
  }
  bool string(std::string& value) {
    mix('s');
    if (is_number()) {
      wrong();
    }
    if (!is_text()) {
      return true;
    }
    if (field_ == Field::kId) {
      has_id_ = true, member_.entry.server.swap(value);
    }
    if (field_ == Field::kPhase) {
      has_phase_ = true, phase_.swap(value);
    }
    if (field_ == Field::kAddress) {
      has_address_ = true, address_.swap(value);
    }
    if (field_ == Field::kZone) {
      member_.entry.zone.swap(value);
    }
    return true;
  }
  bool binary(json::binary_t&) { return other('y'); }
  bool start_object(std::size_t) { return open('{'); }
  bool end_object() { return close('}'); }
  bool start_array(std::size_t) { return open('['); }
  bool end_array() { return close(']'); }
  bool key(std::string& key) {
    mix(std::hash<std::string>{}(key));
    if (depth_ == 1) {
      field_ = field_of(key);
    }
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const json::exception& e) {
    throw std::runtime_error(e.what());
  }

 private:
  static constexpr std::int64_t kMost = std::int64_t(1)
                                        << 52;  // far above any time in milliseconds
  void mix(std::uint64_t value) {
    shape_ = (shape_ ^ value) * 0x9e3779b97f4a7c15U + (shape_ >> 29);
  }
  enum class Field { kOther, kId, kPhase, kAddress, kZone, kKind, kCell, kWeight, kStartedAt };
  static constexpr std::array<std::string_view, 9> kKeys = {
      "", "id", "phase", "host_port", "locality", "flavor", "cell", "size", "up_since_ms"};
  static Field field_of(const std::string& key) {
    for (std::size_t i = 1; i < kKeys.size(); ++i) {
      if (key == kKeys[i]) {
        return Field(i);
      }
    }
    return Field::kOther;
  }
  bool is_number() const { return depth_ == 1 && field_ >= Field::kCell; }
  bool is_text() const { return depth_ == 1 && field_ != Field::kOther && field_ < Field::kCell; }
  [[noreturn]] void wrong() const {
    throw std::runtime_error("a member with another kind of " +
                             std::string(kKeys[std::size_t(field_)]));
  }
  bool other(char kind) {
    mix(std::uint64_t(kind));
    if (is_number() || is_text()) {
      wrong();
    }
    return true;
  }
  bool open(char kind) {
    other(kind);
    ++depth_;
    return true;
  }
  bool close(char kind) {
    --depth_;
    mix(std::uint64_t(kind));
    return true;
  }
  bool number(double value, std::int64_t whole) {
    mix('0');
    if (is_text()) {
      wrong();
    }
    if (!is_number()) {
      return true;
    }
    if (std::abs(whole) >= kMost) {
      throw std::runtime_error("a number of a member is out of range");
    }
    if (field_ == Field::kCell) {
      member_.entry.cell = whole;
    }
    if (field_ == Field::kWeight) {
      member_.entry.weight = value;
    }
    if (field_ == Field::kStartedAt) {
      member_.entry.started_at = whole * 1000;
    }
    return true;
  }

  int depth_ = 0;
  std::uint64_t shape_ = 0;
  bool has_id_ = false, has_phase_ = false, has_address_ = false;
  Field field_ = Field::kOther;
  std::string phase_, address_;
  ListedEndpoint member_;
};

}  // namespace

tcp::endpoint parse_socket_address(const std::string& text) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos) {
    throw std::runtime_error("no port in address '" + text + "'");
  }
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec != std::errc() || stop != end || port > 65535) {
    throw std::runtime_error("bad port in address '" + text + "'");
  }
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  if (bad) {
    throw std::runtime_error("bad address '" + text + "'");
  }
  return {address, static_cast<unsigned short>(port)};
}

EndpointList parse_endpoint_list(const json& list) {
  EndpointListParser reader({"members"});
  reader.parse_chunk(list.dump());
  return reader.take_list(reader.surrounding_json());
}

std::size_t memory(const ListedEndpoint& m) {
  constexpr std::size_t kWithin = 15;
  constexpr std::size_t kBlock = 24;  // bytes of a text that lie in the string itself; of malloc
  std::size_t out = sizeof(ListedEndpoint) + kBlock / 3;
  for (const std::string* text : {&m.entry.server, &m.entry.zone}) {
    if (text->capacity() > kWithin) {
      out += text->capacity() + kBlock;
    }
  }
  return out;
}

// ---- From text
// ----------------------------------------------------------------------------------------
EndpointListParser::EndpointListParser(std::vector<std::string> path, EndpointListLimits limits,
                                       Retain keep)
    : path_(std::move(path)), limits_(limits), keep_(keep), keys_(path_.size() + 1) {}

std::size_t EndpointListParser::parse_chunk(std::string_view piece) {
  std::size_t at = 0;
  bytes_ += piece.size();
  while (at < piece.size() && !done_) {
    if (member_depth_ > 0 || (in_array_ && piece[at] == '{' && next_ != Next::kComma)) {
      at += within(piece.substr(at));
    } else if (in_array_) {
      between(piece[at++]);
    } else {
      around(piece[at++]);
    }
  }
  bytes_ -= piece.size() - at;
  if (!done_ && bytes_ > limits_.text_bytes) {
    throw EndpointListTooLarge("it has no end");
  }
  return at;
}

// The text but for the members. Of spaces one is as good as many, and many could fill the memory.
void EndpointListParser::around(char c) {
  if (quoted_) {
    rest_ += c;
    if (!std::exchange(escaped_, false)) {
      escaped_ = c == '\\', quoted_ = c != '"';
    }
    if (quoted_ && token_.size() < kMostKey) {
      token_ += c;
    }
  } else if (is_space(c)) {
    if (!rest_.empty() && rest_.back() != ' ') {
      rest_ += ' ';
    }
  } else {
    if (rest_.empty() && c != '{') {
      throw std::runtime_error("no object");
    }
    rest_ += c;
    quoted_ = c == '"';
    if (quoted_) {
      token_.clear();
    }
    if (c == ':' && std::size_t(depth_) < keys_.size()) {
      keys_[std::size_t(depth_)] = key_of(token_);
    }
    if (c == '{' || c == '[') {
      opened(c);
    }
    if (c == '}' || c == ']') {
      done_ = --depth_ == 0;
    }
  }
  if (rest_.size() > limits_.surrounding_bytes) {
    throw EndpointListTooLarge("what is no member of it has no end");
  }
}

void EndpointListParser::opened(char bracket) {
  const auto depth = std::size_t(++depth_);
  if (depth < keys_.size()) {
    keys_[depth].clear();
  }
  if (bracket != '[' || depth != path_.size() + 1) {
    return;
  }
  for (std::size_t i = 0; i < path_.size(); ++i) {
    if (keys_[i + 1] != path_[i]) {
      return;
    }
  }
  if (std::exchange(found_, true)) {
    throw std::runtime_error("members are there twice");
  }
  in_array_ = true;
}

// Between two members.
void EndpointListParser::between(char c) {
  if (is_space(c)) {
    return;
  }
  if (c == ']' && next_ != Next::kMember) {
    in_array_ = false;
    return around(c);
  }
  if (c != ',' || next_ != Next::kComma) {
    throw std::runtime_error("something else among the members");
  }
  next_ = Next::kMember;
}

// Of a member, which begins here or has begun before: how much of the piece is part of it.
std::size_t EndpointListParser::within(std::string_view piece) {
  for (std::size_t i = 0; i < piece.size(); ++i) {
    const char c = piece[i];
    if (quoted_) {
      if (!std::exchange(escaped_, false)) {
        escaped_ = c == '\\', quoted_ = c != '"';
      }
      continue;
    }
    quoted_ = c == '"';
    if (c == '{' || c == '[') {
      ++member_depth_;
    }
    if ((c != '}' && c != ']') || --member_depth_ > 0) {
      continue;
    }
    if (member_.empty()) {
      member(piece.substr(0, i + 1));
    } else {
      member_ += piece.substr(0, i + 1);
      member(member_);
      member_.clear();
    }
    return i + 1;
  }
  member_ += piece;
  if (member_.size() > kMostMember) {
    throw EndpointListTooLarge("a member of it has no end");
  }
  return piece.size();
}

void EndpointListParser::member(std::string_view text) {
  thread_local MemberHandler handler;
  handler.reset();
  json::sax_parse(text.begin(), text.end(), &handler);
  const ListedEndpoint& member = handler.member();
  next_ = Next::kComma;
  ++count_;
  if (keep_ != Retain::kSamplesOnly) {
    members_.push_back(member);
    memory_ += memory(members_.back());
  }
  if (keep_ != Retain::kEndpoints && shapes_.insert(handler.shape()).second) {
    if (std::exchange(sampled_, true)) {
      rest_ += ',';
    }
    rest_ += text;
  }
  if (memory_ > limits_.memory_bytes) {
    throw EndpointListTooLarge("its members take too much memory");
  }
}

std::optional<EndpointListParser::Header> EndpointListParser::header() const {
  if (!in_array_) {
    return std::nullopt;
  }
  const json before = json::parse(rest_ + ']' + std::string(path_.size(), '}'));
  Header out;
  if (before.contains("revision")) {
    out.revision = before["revision"].get<std::int64_t>();
  }
  if (before.contains("complete")) {
    out.complete = before["complete"].get<bool>();
  }
  return out;
}

EndpointList EndpointListParser::take_list(const json& around) {
  EndpointList out;
  out.revision = around.at("revision").get<std::int64_t>();
  out.complete = around.value("complete", false);
  if (const json& members = around.at("members"); !members.is_array() && !members.is_null()) {
    throw std::runtime_error("members are no list");
  }
  out.endpoints = std::move(members_);
  return out;
}

}  // namespace quota_gateway::net
