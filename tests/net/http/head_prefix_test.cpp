// The part of a head that may be parsed.
#include "net/http/head_prefix.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http.hpp>
#include <string_view>

namespace quota_gateway::net::testing {
namespace {

using namespace std::string_view_literals;
namespace http = boost::beast::http;

using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

TEST(HeadPrefix, TheStartLineIsParsedOnceItHasArrived) {
  EXPECT_EQ(parseable_head_bytes("GET / HTTP/1.1\r"sv, false), 0U);
  EXPECT_EQ(parseable_head_bytes("GET / HTTP/1.1\r\nHost: x\r\n\r\n"sv, false), 16U);
}

TEST(HeadPrefix, AnInvalidStartLineIsFoundBeforeItsEnd) {
  EXPECT_EQ(check_partial_start_line<Parser>("GET /x"sv), http::error::need_more);
  EXPECT_EQ(check_partial_start_line<Parser>("\x16\x03\x01"sv), http::error::bad_method);
}

// Guards against fields that are stored before their head is complete.
TEST(HeadPrefix, FieldsAreParsedOnceAllHaveArrived) {
  EXPECT_EQ(parseable_head_bytes("a:b\r\na:b\r\n"sv, true), 0U);
  EXPECT_EQ(parseable_head_bytes("a:b\r\n\r\nbody"sv, true), 11U);
  EXPECT_EQ(parseable_head_bytes("\r\nbody"sv, true), 6U);
  EXPECT_EQ(parseable_head_bytes("\r"sv, true), 0U);
  EXPECT_EQ(parseable_head_bytes(""sv, true), 0U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
