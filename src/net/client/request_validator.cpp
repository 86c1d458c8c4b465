#include "net/client/request_validator.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;
using Request = http::request<IncrementalBody>;

constexpr std::size_t kMaxIdBytes = 128;  // for a trace id, an idempotency key or a host
constexpr std::size_t kCustomerDigits = 16;
constexpr int kHexadecimal = 16;
constexpr std::uint64_t kCustomerIdEnd = 1ULL << 33;  // customer ids are below this number
constexpr double kMaxHeaderNumber = 1e15;             // larger numbers in headers are invalid
constexpr double kMicrosPerMilli = 1000;

std::string_view to_string_view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Whether `text` consists of visible ASCII characters only. A forwarded value with line breaks
// could end its header line and add another header.
bool is_visible_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character > ' ' && character < 0x7f; });
}

double parse_number(std::string_view text, const char* header) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value);
  const bool parsed = ec == std::errc() && stop == end;
  if (!parsed || !std::isfinite(value) || std::abs(value) > kMaxHeaderNumber) {
    throw HttpError(std::string("bad ") + header);
  }
  return value;
}

int to_integer(double value, int min, int max, const char* parameter) {
  if (value < min || value > max || value != std::floor(value)) {
    throw HttpError(std::string("bad ") + parameter);
  }
  return int(value);
}

// Returns the value of a header, or an empty string if the header is missing. A repeated header is
// rejected, because the gateway and an upstream server could use different values of it.
std::string_view single_header(const Request& request, const char* name) {
  const auto [first, last] = request.equal_range(name);
  if (first == last) {
    return {};
  }
  if (std::next(first) != last) {
    throw HttpError(std::string("more than one ") + name);
  }
  return to_string_view(first->value());
}

std::string_view required_header(const Request& request, const char* name) {
  const auto value = single_header(request, name);
  if (value.empty()) {
    throw HttpError(std::string("no ") + name);
  }
  return value;
}

// Returns a copy of a header's value after checking that it is safe to forward.
std::string checked_id(std::string_view value, const char* header) {
  if (value.size() > kMaxIdBytes || !is_visible_ascii(value)) {
    throw HttpError(std::string("bad ") + header);
  }
  return std::string(value);
}

std::string required_id(const Request& request, const char* header) {
  return checked_id(required_header(request, header), header);
}

std::string idempotency_key(const Request& request, Idempotency idempotency) {
  constexpr const char* kHeader = "Idempotency-Key";
  return idempotency == Idempotency::kIdempotencyKey
             ? required_id(request, kHeader)
             : checked_id(single_header(request, kHeader), kHeader);
}

// The parameters of a Quota-Info header. A missing parameter is nullopt.
struct QuotaInfo {
  std::optional<double> units;
  std::optional<double> spread;
  std::optional<double> first;

  // Returns the parameter called `name`, or null if the protocol doesn't define it.
  std::optional<double>* find(std::string_view name) {
    if (name == "units") {
      return &units;
    }
    if (name == "spread") {
      return &spread;
    }
    return name == "first" ? &first : nullptr;
  }
};

void parse_quota_parameter(std::string_view parameter, QuotaInfo& info) {
  constexpr const char* kHeader = "Quota-Info";
  const auto equals = parameter.find('=');
  if (equals == std::string_view::npos) {
    throw HttpError(std::string("bad ") + kHeader);
  }
  const double value = parse_number(parameter.substr(equals + 1), kHeader);
  std::optional<double>* parameter_value = info.find(parameter.substr(0, equals));
  if (parameter_value == nullptr) {
    return;  // unknown parameters are ignored
  }
  if (parameter_value->has_value()) {
    throw HttpError(std::string("bad ") + kHeader);
  }
  *parameter_value = value;
}

// Parses "units=2,spread=3,first=1". The parameters may be in any order, and spaces may follow a
// comma.
QuotaInfo parse_quota_info(std::string_view text) {
  QuotaInfo info;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    std::string_view parameter = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    parameter.remove_prefix(std::min(parameter.find_first_not_of(' '), parameter.size()));
    parse_quota_parameter(parameter, info);
  }
  return info;
}

void apply_quota_info(std::string_view text, const Settings& settings, RequestArrived& arrived) {
  const QuotaInfo info = parse_quota_info(text);
  if (!info.units || !info.spread || !info.first) {
    throw HttpError("bad Quota-Info");
  }
  if (*info.units <= 0 || *info.units > settings.max_request_units) {
    throw HttpError("units are out of range");
  }
  arrived.units = *info.units;
  arrived.gateway_subset_size = to_integer(*info.spread, 1, settings.gateway_count, "spread");
  arrived.gateway_subset_start = to_integer(*info.first, 0, settings.gateway_count - 1, "first");
}

// Returns the customer id in lower case, so that a customer has a single quota even if its clients
// use different spellings.
std::string parse_customer(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, kHexadecimal);
  const bool parsed = ec == std::errc() && stop == end;
  if (text.size() != kCustomerDigits || !parsed || value >= kCustomerIdEnd) {
    throw HttpError("the path must end in a valid customer id");
  }
  std::string customer(text);
  std::transform(customer.begin(), customer.end(), customer.begin(), [](char digit) {
    const bool upper = digit >= 'A' && digit <= 'F';
    return upper ? char(digit - 'A' + 'a') : digit;
  });
  return customer;
}

template <typename Named>
const Named& find_named(const std::vector<Named>& all, std::string_view name, const char* kind) {
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&](const Named& candidate) { return candidate.name == name; });
  if (found == all.end()) {
    throw HttpError(std::string("no such ") + kind);
  }
  return *found;
}

// The parts of a path "/CLASS/.../CUSTOMER". The query is not part of the path.
struct RequestPath {
  std::string_view request_class;
  std::string_view customer;
};

RequestPath split_path(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const auto last_slash = path.rfind('/');
  if (path.empty() || path[0] != '/' || last_slash == 0 || !is_visible_ascii(target)) {
    throw HttpError("bad path, expected /CLASS/.../CUSTOMER in visible ASCII characters");
  }
  return {path.substr(1, path.find('/', 1) - 1), path.substr(last_slash + 1)};
}

void check_method(const Request& request, bool idempotent) {
  if (request.method() != (idempotent ? http::verb::get : http::verb::post)) {
    throw HttpError("the method is not allowed for this request class");
  }
  if (idempotent) {
    const auto length = request[http::field::content_length];
    if (length.find_first_not_of('0') != boost::beast::string_view::npos) {
      throw HttpError("a request of this class must not have a body");
    }
    return;
  }
  if (request.count(http::field::content_length) == 0 &&
      request.count(http::field::transfer_encoding) == 0) {
    throw HttpError("Content-Length or Transfer-Encoding is required",
                    http::status::length_required);
  }
}

}  // namespace

Micros parse_expires_in(std::string_view text) {
  constexpr const char* kHeader = "X-Expires-In";
  const char unit = text.empty() ? '\0' : text.back();
  if (unit != 'm' && unit != 'u') {
    throw HttpError(std::string("bad ") + kHeader);
  }
  text.remove_suffix(1);
  const double timeout = parse_number(text, kHeader) * (unit == 'm' ? kMicrosPerMilli : 1);
  if (timeout < 1) {
    throw HttpError(std::string("bad ") + kHeader);
  }
  constexpr double kMaxTimeout = 1e15;  // us; fits into Micros
  return Micros(std::min(timeout, kMaxTimeout));
}

ClientRequest validate_request(const Request& request, const Settings& settings) {
  ClientRequest result;
  RequestArrived& arrived = result.arrived;
  ForwardedRequest& forwarded = result.forwarded;

  const std::string_view target = to_string_view(request.target());
  const RequestPath path = split_path(target);
  arrived.customer = parse_customer(path.customer);
  const ClassSettings& request_class = find_named(settings.classes, path.request_class, "class");
  arrived.request_class = request_class.name;
  result.idempotent = request_class.idempotency == Idempotency::kIdempotent;
  result.may_run_again = request_class.idempotency != Idempotency::kNonIdempotent;
  check_method(request, result.idempotent);

  forwarded.trace_id = required_id(request, "X-Trace-Id");
  forwarded.idempotency_key = idempotency_key(request, request_class.idempotency);
  forwarded.host = required_id(request, "Host");
  // A response after the deadline of the class has no value.
  result.timeout =
      std::min(parse_expires_in(required_header(request, "X-Expires-In")), request_class.deadline);
  arrived.plan = find_named(settings.plans, required_header(request, "Plan"), "plan").name;
  apply_quota_info(required_header(request, "Quota-Info"), settings, arrived);
  arrived.is_client_retry = request["X-Second-Try"] == "1";
  forwarded.method = std::string(to_string_view(request.method_string()));
  forwarded.target = std::string(target);
  return result;
}

}  // namespace quota_gateway::net
