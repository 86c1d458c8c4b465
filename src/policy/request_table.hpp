// Table of all open requests by id. Owned by the gateway. A request stays in the table until it is
// done and neither an attempt in flight nor the hold queue refers to it.
#pragma once

#include <string>
#include <unordered_map>

#include "policy/request.hpp"

namespace quota_gateway::policy {

class RequestTable {
 public:
  // Returns the request with this id and creates it if there is none. The reference stays valid
  // until the request is erased.
  Request& find_or_create(const std::string& id);

  // Returns null if no request with this id is open.
  Request* find(const std::string& id);

  // Returns the open request with this id; throws std::out_of_range if there is none.
  Request& at(const std::string& id);

  // Erases the request, which invalidates the reference, if it is done, has no attempt in flight
  // and is not in the hold queue.
  void erase_if_unused(const Request& request);

 private:
  std::unordered_map<std::string, Request> requests_;  // accessed by id, never iterated
};

}  // namespace quota_gateway::policy
