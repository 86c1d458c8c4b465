// All open requests, by id. Owned by the gateway; a request stays until it is done and nothing
// points to it any more.
#pragma once

#include <string>
#include <unordered_map>

#include "policy/request.hpp"

namespace quota_gateway::policy {

class RequestTable {
 public:
  // The request of this id, a new one if there is none. References stay valid until it is erased.
  Request& find_or_create(const std::string& id);

  // Null if no such request is open.
  Request* find(const std::string& id);

  // The request of an id that is known to be open; throws std::out_of_range otherwise.
  Request& at(const std::string& id);

  // Erases the request, and the reference with it, if it is done, has no attempt in flight and is
  // not in the hold queue.
  void erase_if_unused(const Request& request);

 private:
  std::unordered_map<std::string, Request> requests_;  // looked up by id, never walked
};

}  // namespace quota_gateway::policy
