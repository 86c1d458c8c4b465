// Encodes the gateway's responses to clients as HTTP/1.1. Stateless; called by the client session.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "net/client/client_callbacks.hpp"
#include "net/http/framing.hpp"

namespace quota_gateway::net {

// What happens to the connection after a response.
enum class ConnectionUse : std::uint8_t { kKeepAlive, kClose };

// A complete response, with its body.
std::string encode_response(const ClientResponse& response, ConnectionUse connection_use);

// How the end of a streamed response's body is marked.
enum class BodyDelimiter : std::uint8_t { kContentLength, kChunked, kConnectionClose };

// The delimiter of a body whose length is known or not, to a client of that HTTP version.
BodyDelimiter choose_body_delimiter(std::optional<std::uint64_t> content_length,
                                    HttpVersion version);

// The head of a streamed 200 response. `content_length` counts the whole body, in bytes; it must be
// given for kContentLength only.
std::string encode_streamed_head(std::optional<std::uint64_t> content_length,
                                 BodyDelimiter delimiter, ConnectionUse connection_use);

}  // namespace quota_gateway::net
