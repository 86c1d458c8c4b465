// The check of the length that a message head announces, and the chunked encoding.
#include "net/http/framing.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

http::fields head_with(http::field name, const std::string& value) {
  http::fields head;
  head.insert(name, value);
  return head;
}

TEST(Framing, AChunkHasItsSizeInHexadecimal) {
  EXPECT_EQ(encode_chunk("hello"), "5\r\nhello\r\n");
  EXPECT_EQ(encode_chunk(std::string(26, 'x')), "1a\r\n" + std::string(26, 'x') + "\r\n");
}

TEST(Framing, AnEmptyChunkEndsTheBody) {
  EXPECT_EQ(encode_chunk(""), kLastChunk);
}

TEST(Framing, AContentLengthMustConsistOfDigits) {
  EXPECT_NO_THROW(
      check_framing(head_with(http::field::content_length, "12"), HttpVersion::kHttp11));
  EXPECT_NO_THROW(check_framing({}, HttpVersion::kHttp11));
  EXPECT_THROW(check_framing(head_with(http::field::content_length, ""), HttpVersion::kHttp11),
               HttpError);
  EXPECT_THROW(check_framing(head_with(http::field::content_length, "+12"), HttpVersion::kHttp11),
               HttpError);
  EXPECT_THROW(check_framing(head_with(http::field::content_length, "1,2"), HttpVersion::kHttp11),
               HttpError);
}

TEST(Framing, OnlyHttp11MessagesMayBeChunked) {
  const auto chunked = head_with(http::field::transfer_encoding, "Chunked");
  EXPECT_NO_THROW(check_framing(chunked, HttpVersion::kHttp11));
  EXPECT_THROW(check_framing(chunked, HttpVersion::kHttp10), HttpError);
  EXPECT_THROW(check_framing(head_with(http::field::transfer_encoding, "gzip, chunked"),
                             HttpVersion::kHttp11),
               HttpError);
}

TEST(Framing, AnyVersionExceptHttp11CountsAsHttp10) {
  EXPECT_EQ(http_version(11), HttpVersion::kHttp11);
  EXPECT_EQ(http_version(10), HttpVersion::kHttp10);
  EXPECT_EQ(http_version(12), HttpVersion::kHttp10);
}

TEST(Framing, MoreThanOneLengthHeaderIsRejected) {
  auto head = head_with(http::field::content_length, "5");
  head.insert(http::field::content_length, "5");
  EXPECT_THROW(check_framing(head, HttpVersion::kHttp11), HttpError);

  head = head_with(http::field::content_length, "5");
  head.insert(http::field::transfer_encoding, "chunked");
  EXPECT_THROW(check_framing(head, HttpVersion::kHttp11), HttpError);
}

TEST(Framing, TheDefaultStatusOfAnErrorIsBadRequest) {
  EXPECT_EQ(HttpError("why").status(), http::status::bad_request);
  EXPECT_EQ(HttpError("why", http::status::conflict).status(), http::status::conflict);
}

}  // namespace
}  // namespace quota_gateway::net
