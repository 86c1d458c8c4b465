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

// Encodes a complete response, including its body.
std::string encode_response(const ClientResponse& response, ConnectionUse connection_use);

// How the client recognizes the end of a streamed response's body.
enum class BodyDelimiter : std::uint8_t { kContentLength, kChunked, kConnectionClose };

// Chooses the delimiter of a streamed body. `content_length` is set if the length of the body is
// known; `version` is the HTTP version of the client.
BodyDelimiter choose_body_delimiter(std::optional<std::uint64_t> content_length,
                                    HttpVersion version);

// Encodes the head of a streamed 200 response. `content_length` is the length of the complete body
// in bytes; it must be set if and only if `delimiter` is kContentLength.
std::string encode_streamed_head(std::optional<std::uint64_t> content_length,
                                 BodyDelimiter delimiter, ConnectionUse connection_use);

}  // namespace quota_gateway::net
