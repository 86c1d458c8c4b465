#include "net/upstream/response_classifier.hpp"

#include <boost/beast/http/status.hpp>
#include <string_view>

#include "net/upstream/load_report_parser.hpp"

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

// Larger values in a server's response are ignored as implausible.
constexpr double kMaxBilledUnits = 1e4;
constexpr double kMaxUsagePercent = 1e6;

std::string_view header(const ServerResponse& response, std::string_view name) {
  const auto value = response[{name.data(), name.size()}];
  return {value.data(), value.size()};
}

}  // namespace

bool is_interim(const ServerResponse& response) {
  // Checks the number, because Beast's status enumeration lacks some statuses, such as 103.
  return response.result_int() / 100 == 1;
}

Outcome outcome_of(const ServerResponse& response) {
  if (response.result() == http::status::ok) {
    return Outcome::kOk;
  }
  const bool is_rejection = response.result() == http::status::service_unavailable ||
                            response.result() == http::status::gateway_timeout;
  const bool never_ran = is_rejection && header(response, "X-Never-Ran") == "1";
  return never_ran ? Outcome::kOverloaded : Outcome::kError;
}

AttemptResult result_of_head(const ServerResponse& response) {
  AttemptResult result;
  result.outcome = outcome_of(response);
  result.load = parse_load_report(header(response, "Endpoint-Load-Metrics"));
  if (const auto percent =
          parse_bounded_number(header(response, "Usage-Percent"), kMaxUsagePercent)) {
    result.quota_usage_percent = int(*percent);
  }
  if (result.outcome == Outcome::kOk) {
    result.billed_units = parse_bounded_number(header(response, "Billed-Units"), kMaxBilledUnits);
  }
  return result;
}

}  // namespace quota_gateway::net
