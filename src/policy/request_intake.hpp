// Creates an open request from an arrival: looks up its class, plan and customer, records its
// demand, and estimates its response time and priority. Owned by the gateway.
#pragma once

#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class QuotaAllocator;
class RequestTable;
class SettingsRegistry;

class RequestIntake {
 public:
  // All references must outlive this object.
  RequestIntake(const Settings& settings, SettingsRegistry& registry, QuotaAllocator& quota,
                RequestTable& requests);

  // Adds the request to the table and returns it, without an admission decision.
  Request& create(Micros now, const RequestArrived& event);

 private:
  const Settings& settings_;
  SettingsRegistry& registry_;
  QuotaAllocator& quota_;
  RequestTable& requests_;
};

}  // namespace quota_gateway::policy
