#include "net/client/response_output.hpp"

#include <utility>

#include "net/http/framing.hpp"

namespace quota_gateway::net {

std::string ResponseOutput::take_interim_rest() {
  return std::string(std::exchange(interim_rest_, {}));
}

void ResponseOutput::set_response(const ClientResponse& response, ConnectionUse connection_use) {
  connection_use_ = connection_use;
  bytes_ = take_interim_rest() + encode_response(response, connection_use);
}

void ResponseOutput::begin_stream(std::optional<std::uint64_t> content_length,
                                  BodyDelimiter delimiter, ConnectionUse connection_use,
                                  const std::string& piece) {
  is_streaming_ = true;
  delimiter_ = delimiter;
  connection_use_ = connection_use;
  bytes_ = take_interim_rest() + encode_streamed_head(content_length, delimiter, connection_use);
  if (!piece.empty()) {
    bytes_ += delimiter_ == BodyDelimiter::kChunked ? encode_chunk(piece) : piece;
  }
}

void ResponseOutput::set_piece(std::string piece) {
  bytes_ = delimiter_ == BodyDelimiter::kChunked ? encode_chunk(piece) : std::move(piece);
}

void ResponseOutput::end_stream() {
  is_streaming_ = false;
  bytes_.clear();
  if (delimiter_ == BodyDelimiter::kChunked) {
    bytes_ = kLastChunk;
  }
}

}  // namespace quota_gateway::net
