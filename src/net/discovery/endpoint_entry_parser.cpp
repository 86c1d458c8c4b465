#include "net/discovery/endpoint_entry_parser.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "net/discovery/socket_address.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

enum class FieldType { kAny, kText, kNumber };

enum class Field { kUnknown, kId, kPhase, kAddress, kZone, kKind, kCell, kWeight, kStartedAt };

struct FieldSpec {
  std::string_view key;
  Field field = Field::kUnknown;
  FieldType type = FieldType::kAny;
};

constexpr std::array<FieldSpec, 8> kFields = {{
    {"id", Field::kId, FieldType::kText},
    {"phase", Field::kPhase, FieldType::kText},
    {"host_port", Field::kAddress, FieldType::kText},
    {"locality", Field::kZone, FieldType::kText},
    {"flavor", Field::kKind, FieldType::kText},
    {"cell", Field::kCell, FieldType::kNumber},
    {"size", Field::kWeight, FieldType::kNumber},
    {"up_since_ms", Field::kStartedAt, FieldType::kNumber},
}};
constexpr FieldSpec kUnknownField;

// Exclusive limit of the absolute value of a number. Integers below it are exact as a double, and
// it is far above any time in milliseconds.
constexpr std::int64_t kNumberLimit = std::int64_t(1) << 52;

const FieldSpec& field_of(const std::string& key) {
  const auto* const found = std::find_if(kFields.begin(), kFields.end(),
                                         [&](const FieldSpec& spec) { return spec.key == key; });
  return found != kFields.end() ? *found : kUnknownField;
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
  throw EndpointListError("an endpoint entry has the unknown phase " + phase);
}

// Handles the events of nlohmann's SAX parser, which defines the names of the event functions.
// Building a tree of the entry would take twice the time. One handler parses many entries so that
// its strings keep their allocated memory.
class EntryHandler {
 public:
  void reset() {
    depth_ = 0;
    shape_ = 0;
    field_ = &kUnknownField;
    has_id_ = false;
    has_phase_ = false;
    has_address_ = false;
    endpoint_.entry.zone.clear();
    endpoint_.entry.cell = 0;
    endpoint_.entry.started_at = 0;
    endpoint_.entry.weight = 1;
    endpoint_.address = {};
  }

  std::uint64_t shape() const { return shape_; }

  // Checks and returns the parsed entry. Call it after the events of one entry.
  const ListedEndpoint& finish() {
    if (!has_id_ || !has_phase_) {
      throw EndpointListError("an endpoint entry has no field 'id' or no field 'phase'");
    }
    CompactEndpointEntry& entry = endpoint_.entry;
    entry.state = parse_state(phase_);
    if (has_address_) {
      endpoint_.address = parse_socket_address(address_);
    } else if (entry.state != EndpointState::kRemoved) {
      throw EndpointListError("no field 'host_port' in the entry of endpoint '" + entry.server +
                              "'");
    }
    return endpoint_;
  }

  bool null() { return other_value('n'); }
  bool boolean(bool) { return other_value('b'); }
  bool binary(json::binary_t&) { return other_value('y'); }
  bool start_object(std::size_t) { return open('{'); }
  bool end_object() { return close('}'); }
  bool start_array(std::size_t) { return open('['); }
  bool end_array() { return close(']'); }

  bool number_integer(std::int64_t value) { return number(double(value), value); }
  bool number_unsigned(std::uint64_t value) {
    return number(double(value), std::int64_t(std::min<std::uint64_t>(value, kNumberLimit)));
  }
  bool number_float(double value, const std::string&) {
    const bool in_range = std::abs(value) < double(kNumberLimit);
    return number(value, in_range ? std::int64_t(value) : kNumberLimit);
  }

  // Swaps the text out of the parser to avoid a copy.
  bool string(std::string& value) {
    add_to_shape('s');
    if (expects(FieldType::kNumber)) {
      throw_wrong_type();
    }
    if (expects(FieldType::kText)) {
      set_text(value);
    }
    return true;
  }

  bool key(std::string& key) {
    add_to_shape(std::hash<std::string>{}(key));
    if (depth_ == 1) {
      field_ = &field_of(key);
    }
    return true;
  }

  static bool parse_error(std::size_t, const std::string&, const json::exception& error) {
    throw EndpointListError(error.what());
  }

 private:
  // Whether the next value belongs to a known field of this type.
  bool expects(FieldType type) const { return depth_ == 1 && field_->type == type; }

  void add_to_shape(std::uint64_t value) {
    shape_ = (shape_ ^ value) * 0x9e3779b97f4a7c15U + (shape_ >> 29);
  }

  [[noreturn]] void throw_wrong_type() const {
    throw EndpointListError("an endpoint entry has a value of the wrong type in field " +
                            std::string(field_->key));
  }

  bool other_value(char type) {
    add_to_shape(std::uint64_t(type));
    if (expects(FieldType::kNumber) || expects(FieldType::kText)) {
      throw_wrong_type();
    }
    return true;
  }

  bool open(char bracket) {
    other_value(bracket);
    ++depth_;
    return true;
  }

  bool close(char bracket) {
    --depth_;
    add_to_shape(std::uint64_t(bracket));
    return true;
  }

  // `truncated`: the value without its fraction, or kNumberLimit if it is out of range.
  bool number(double value, std::int64_t truncated) {
    add_to_shape('0');
    if (expects(FieldType::kText)) {
      throw_wrong_type();
    }
    if (expects(FieldType::kNumber)) {
      set_number(value, truncated);
    }
    return true;
  }

  void set_text(std::string& value) {
    switch (field_->field) {
      case Field::kId:
        has_id_ = true;
        endpoint_.entry.server.swap(value);
        break;
      case Field::kPhase:
        has_phase_ = true;
        phase_.swap(value);
        break;
      case Field::kAddress:
        has_address_ = true;
        address_.swap(value);
        break;
      case Field::kZone:
        endpoint_.entry.zone.swap(value);
        break;
      default:
        break;
    }
  }

  void set_number(double value, std::int64_t truncated) {
    if (std::abs(truncated) >= kNumberLimit) {
      throw EndpointListError("a number in an endpoint entry is out of range");
    }
    switch (field_->field) {
      case Field::kCell:
        endpoint_.entry.cell = truncated;
        break;
      case Field::kWeight:
        endpoint_.entry.weight = value;
        break;
      case Field::kStartedAt:
        endpoint_.entry.started_at = truncated * 1000;
        break;
      default:
        break;
    }
  }

  int depth_ = 0;
  std::uint64_t shape_ = 0;
  // The field of the last key at the top level of the entry.
  const FieldSpec* field_ = &kUnknownField;
  bool has_id_ = false;
  bool has_phase_ = false;
  bool has_address_ = false;
  std::string phase_;
  std::string address_;
  ListedEndpoint endpoint_;
};

}  // namespace

ParsedEndpointEntry parse_endpoint_entry(std::string_view text) {
  thread_local EntryHandler handler;
  handler.reset();
  json::sax_parse(text.begin(), text.end(), &handler);
  return {handler.finish(), handler.shape()};
}

}  // namespace quota_gateway::net
