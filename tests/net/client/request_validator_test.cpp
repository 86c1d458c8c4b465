// The validation of the head of a client's request.
#include "net/client/request_validator.hpp"

#include <gtest/gtest.h>

#include <string>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;
using Request = http::request<IncrementalBody>;

Settings test_settings() {
  Settings settings;
  settings.gateway_count = 8;
  settings.max_request_units = 100;
  ClassSettings read;
  read.name = "read";
  read.idempotency = Idempotency::kIdempotent;
  read.deadline = 2'000'000;
  ClassSettings keyed;
  keyed.name = "keyed";
  keyed.idempotency = Idempotency::kIdempotencyKey;
  settings.classes = {read, keyed};
  PlanSettings plan;
  plan.name = "team";
  settings.plans = {plan};
  return settings;
}

Request read_request() {
  Request request(http::verb::get, "/read/a/00000001ABCDEF00?query", 11);
  request.set("Host", "origin.svc");
  request.set("X-Trace-Id", "t1");
  request.set("Plan", "team");
  request.set("X-Expires-In", "480m");
  request.set("Quota-Info", "units=2.5, spread=3,first=1,other=9");
  return request;
}

Request keyed_request() {
  Request request = read_request();
  request.method(http::verb::post);
  request.target("/keyed/0000000000000001");
  request.set("Idempotency-Key", "k1");
  request.set("Content-Length", "5");
  return request;
}

// Returns the status and the reason with which a request is rejected, or an empty string if the
// request is valid.
std::string rejection(const Request& request) {
  try {
    validate_request(request, test_settings());
    return "";
  } catch (const HttpError& e) {
    return std::to_string(int(e.status())) + " " + e.what();
  }
}

// Returns the rejection of read_request() with `header` set to `value`.
std::string rejection_with(const char* header, const std::string& value) {
  Request request = read_request();
  request.set(header, value);
  return rejection(request);
}

TEST(RequestValidator, AValidRequestIsSplitIntoItsParts) {
  const ClientRequest valid = validate_request(read_request(), test_settings());
  EXPECT_EQ(valid.arrived.request_class, "read");
  EXPECT_EQ(valid.arrived.customer, "00000001abcdef00");
  EXPECT_EQ(valid.arrived.plan, "team");
  EXPECT_EQ(valid.arrived.units, 2.5);
  EXPECT_EQ(valid.arrived.gateway_subset_size, 3);
  EXPECT_EQ(valid.arrived.gateway_subset_start, 1);
  EXPECT_FALSE(valid.arrived.is_client_retry);
  EXPECT_EQ(valid.timeout, 480'000);
  EXPECT_TRUE(valid.idempotent);
  EXPECT_EQ(valid.forwarded.method, "GET");
  EXPECT_EQ(valid.forwarded.target, "/read/a/00000001ABCDEF00?query");
  EXPECT_EQ(valid.forwarded.host, "origin.svc");
  EXPECT_EQ(valid.forwarded.trace_id, "t1");
}

TEST(RequestValidator, TheTimeoutIsAtMostTheDeadlineOfTheClass) {
  Request request = read_request();
  request.set("X-Expires-In", "9000m");
  EXPECT_EQ(validate_request(request, test_settings()).timeout, 2'000'000);
  request.set("X-Expires-In", "1500u");
  EXPECT_EQ(validate_request(request, test_settings()).timeout, 1'500);
  EXPECT_EQ(rejection_with("X-Expires-In", "480s"), "400 bad X-Expires-In");
  EXPECT_EQ(rejection_with("X-Expires-In", "0u"), "400 bad X-Expires-In");
  EXPECT_EQ(rejection_with("X-Expires-In", "m"), "400 bad X-Expires-In");
}

TEST(RequestValidator, QuotaInfoNeedsEachParameterOnceAndInRange) {
  EXPECT_EQ(rejection_with("Quota-Info", "units=1,spread=8,first=7"), "");
  EXPECT_EQ(rejection_with("Quota-Info", "units=1,spread=1"), "400 bad Quota-Info");
  EXPECT_EQ(rejection_with("Quota-Info", "units=1,units=1,spread=1,first=0"), "400 bad Quota-Info");
  EXPECT_EQ(rejection_with("Quota-Info", "units=nan,spread=1,first=0"), "400 bad Quota-Info");
  EXPECT_EQ(rejection_with("Quota-Info", "units=101,spread=1,first=0"),
            "400 units are out of range");
  EXPECT_EQ(rejection_with("Quota-Info", "units=1,spread=9,first=0"), "400 bad spread");
  EXPECT_EQ(rejection_with("Quota-Info", "units=1,spread=1,first=0.5"), "400 bad first");
}

TEST(RequestValidator, ThePathMustNameAClassAndACustomer) {
  Request request = read_request();
  for (const char* target : {"read", "/read", "/read/a b/0000000000000001"}) {
    request.target(target);
    EXPECT_EQ(rejection(request),
              "400 bad path, expected /CLASS/.../CUSTOMER in visible ASCII characters")
        << target;
  }
  for (const char* target : {"/read/1", "/read/0000000200000000", "/read/000000000000000g"}) {
    request.target(target);
    EXPECT_EQ(rejection(request), "400 the path must end in a valid customer id") << target;
  }
  request.target("/other/0000000000000001");
  EXPECT_EQ(rejection(request), "400 no such class");
}

TEST(RequestValidator, TheClassDeterminesTheMethodAndWhetherABodyIsAllowed) {
  EXPECT_EQ(rejection(keyed_request()), "");

  Request request = keyed_request();
  request.method(http::verb::get);
  EXPECT_EQ(rejection(request), "400 the method is not allowed for this request class");

  request = keyed_request();
  request.erase("Content-Length");
  EXPECT_EQ(rejection(request), "411 Content-Length or Transfer-Encoding is required");

  EXPECT_EQ(rejection_with("Content-Length", "00"), "");
  EXPECT_EQ(rejection_with("Content-Length", "1"),
            "400 a request of this class must not have a body");
}

TEST(RequestValidator, ARequiredHeaderMustBeGivenExactlyOnce) {
  for (const char* header : {"X-Trace-Id", "Host", "X-Expires-In", "Plan", "Quota-Info"}) {
    Request request = read_request();
    request.insert(header, "x");
    EXPECT_EQ(rejection(request), std::string("400 more than one ") + header);
    request.erase(header);
    EXPECT_EQ(rejection(request), std::string("400 no ") + header);
  }
  Request request = keyed_request();
  request.erase("Idempotency-Key");
  EXPECT_EQ(rejection(request), "400 no Idempotency-Key");
}

TEST(RequestValidator, ForwardedValuesMustNotHaveSpacesOrExceedTheMaximumLength) {
  EXPECT_EQ(rejection_with("X-Trace-Id", std::string(128, 'x')), "");
  EXPECT_EQ(rejection_with("X-Trace-Id", std::string(129, 'x')), "400 bad X-Trace-Id");
  EXPECT_EQ(rejection_with("Host", "a b"), "400 bad Host");
}

}  // namespace
}  // namespace quota_gateway::net
