#include "policy/request_table.hpp"

#include "policy/endpoints/endpoint.hpp"

namespace quota_gateway::policy {

Request& RequestTable::find_or_create(const std::string& id) {
  Request& request = requests_[id];
  request.id = id;
  return request;
}

Request* RequestTable::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found != requests_.end() ? &found->second : nullptr;
}

Request& RequestTable::at(const std::string& id) {
  return requests_.at(id);
}

void RequestTable::erase_if_unused(const Request& request) {
  if (!request.done || request.attempts_in_flight > 0 || request.held) {
    return;
  }
  for (const Attempt& attempt : request.attempts) {
    --attempt.endpoint->open_references;
  }
  --request.customer->open_requests;
  requests_.erase(requests_.find(request.id));
}

}  // namespace quota_gateway::policy
