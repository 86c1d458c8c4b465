#include "simulator/wire_codec.hpp"

#include <map>
#include <string>
#include <utility>
#include <variant>

#include "settings/json_fields.hpp"

namespace quota_gateway::simulator {
namespace {

using Json = nlohmann::json;

Outcome parse_outcome(const std::string& text) {
  static const std::map<std::string, Outcome> kOutcomes = {
      {"GOOD", Outcome::kOk},         {"BAD", Outcome::kError},
      {"FULL", Outcome::kOverloaded}, {"LATE", Outcome::kTimeout},
      {"RST", Outcome::kReset},       {"NOCONN", Outcome::kConnectFailed},
      {"NOP", Outcome::kNotSent},     {"CXL", Outcome::kCancelled},
  };
  const auto found = kOutcomes.find(text);
  if (found == kOutcomes.end()) {
    throw JsonShapeError("field 'Disposition' has an unknown value: " + text);
  }
  return found->second;
}

LoadReport parse_load_report(const Json& message) {
  const Json& values = section_or_empty(message, "Feedback");
  if (!values.is_object()) {
    throw JsonShapeError("field 'Feedback' is not an object");
  }
  LoadReport report;
  report.in_flight = find_field<double>(values, "active");
  report.queued = find_field<double>(values, "waiting");
  report.cpu = find_field<double>(values, "cpu");
  report.service_ms = find_field<double>(values, "avg_ms");
  report.served_per_s = find_field<double>(values, "rps");
  report.errors_per_s = find_field<double>(values, "err_rps");
  return report;
}

// The wire value is 1 + the percentage of the quota that is used. It is 0 or missing if the server
// reported no usage.
std::optional<int> parse_quota_usage(const Json& message) {
  const int usage = field_or(message, "Usage", 0);
  if (usage <= 0) {
    return std::nullopt;
  }
  return usage - 1;
}

RequestArrived parse_request(const Json& message) {
  RequestArrived event;
  event.id = required_field<std::string>(message, "Id");
  event.customer = field_or<std::string>(message, "Member", "");
  event.plan = field_or<std::string>(message, "GradeOfService", "");
  event.request_class = field_or<std::string>(message, "Service", "");
  event.units = field_or(message, "CostUnits", 1.0);
  event.deadline = required_field<Micros>(message, "GiveUpAtUs");
  event.gateway_subset_size = field_or(message, "SetSize", 0);
  event.gateway_subset_start = field_or(message, "FromNo", 0);
  event.is_client_retry = field_or(message, "AgainByClient", false);
  return event;
}

AttemptCompleted parse_attempt_completed(const Json& message) {
  AttemptCompleted event;
  event.id = required_field<std::string>(message, "Id");
  event.attempt = required_field<int>(message, "Go");
  event.server = field_or<std::string>(message, "Server", "");
  event.outcome = parse_outcome(required_field<std::string>(message, "Disposition"));
  event.duration = field_or<Micros>(message, "DurationUs", 0);
  event.request_answered = field_or(message, "Over", false);
  event.quota_usage_percent = parse_quota_usage(message);
  event.billed_units = find_field<double>(message, "Billed");
  event.load = parse_load_report(message);
  return event;
}

CounterReply parse_counter_reply(const Json& message) {
  CounterReply event;
  event.key = required_field<std::int64_t>(message, "Cname");
  event.total = field_or(message, "Total", 0.0);
  event.duration = field_or<Micros>(message, "DurationUs", 0);
  event.outcome =
      enum_from_string<CounterOutcome>(required_field<std::string>(message, "Disposition"),
                                       {{"GOOD", CounterOutcome::kOk},
                                        {"FULL", CounterOutcome::kNotAdded},
                                        {"NOCONN", CounterOutcome::kNotAdded}},
                                       CounterOutcome::kUnknown);
  return event;
}

EndpointListUpdate parse_endpoint_list_update(const Json& message, const EndpointLists& lists) {
  using Kind = EndpointListUpdate::Kind;
  EndpointListUpdate event;
  event.kind = enum_from_string<Kind>(
      required_field<std::string>(message, "Kind"),
      {{"Partial", Kind::kPartial}, {"Complete", Kind::kComplete}, {"Persisted", Kind::kPersisted}},
      Kind::kError);
  if (event.kind == Kind::kError) {
    return event;
  }
  const auto list = lists.find(required_field<std::int64_t>(message, "List"));
  if (list == lists.end()) {
    throw JsonShapeError("field 'List' of a DirectoryUpdate refers to an unknown endpoint list");
  }
  event.entries = list->second;
  return event;
}

HealthCheckCompleted parse_health_check(const Json& message) {
  HealthCheckCompleted event;
  event.server = required_field<std::string>(message, "Server");
  event.outcome = parse_outcome(required_field<std::string>(message, "Disposition"));
  event.duration = field_or<Micros>(message, "DurationUs", 0);
  event.load = parse_load_report(message);
  return event;
}

StreamStarted parse_stream_started(const Json& message) {
  return {required_field<std::string>(message, "Id"), field_or(message, "Go", 0),
          field_or<std::string>(message, "Server", "")};
}

// Visitor that converts each type of action to its message.
struct ActionWriter {
  Json operator()(const SendAttempt& action) const {
    return {{"what", "Send"},
            {"Id", action.id},
            {"Server", action.server},
            {"TryForUs", action.timeout}};
  }
  Json operator()(const CancelAttempt& action) const {
    return {{"what", "Withdraw"}, {"Id", action.id}, {"Go", action.attempt}};
  }
  Json operator()(const Reject& action) const {
    Json message = {{"what", "Reject"}, {"Id", action.id}};
    if (action.retry_after.value_or(0) > 0) {
      message["StayAwayUs"] = *action.retry_after;
    }
    return message;
  }
  Json operator()(const Fail& action) const { return {{"what", "Fail"}, {"Id", action.id}}; }
  Json operator()(const SetTimer& action) const {
    return {{"what", "Arm"}, {"AtUs", action.at}, {"Label", action.token}};
  }
  Json operator()(const SendHealthCheck& action) const {
    return {{"what", "Inspect"}, {"Server", action.server}};
  }
  Json operator()(const AddToCounter& action) const {
    return {{"what", "Tally"},
            {"Cname", action.key},
            {"Amount", action.amount},
            {"ForgetAfterUs", action.time_to_live}};
  }
  Json operator()(const LogLine& action) const {
    return {{"what", "NoteDown"}, {"BodyText", action.text}};
  }
};

}  // namespace

std::vector<EndpointEntry> parse_endpoint_entries(const Json& entries) {
  if (!entries.is_array()) {
    throw JsonShapeError("field 'Entries' is not an array");
  }
  std::vector<EndpointEntry> parsed;
  for (const Json& json : entries) {
    EndpointEntry entry;
    entry.server = required_field<std::string>(json, "Server");
    entry.zone = field_or<std::string>(json, "RackZone", "");
    entry.hardware_generation = field_or<std::string>(json, "GenerationHw", "");
    entry.cell = field_or<std::int64_t>(json, "Cohort", 0);
    entry.state = enum_from_string<EndpointState>(
        field_or<std::string>(json, "Mode", "up"),
        {{"draining", EndpointState::kDraining}, {"removed", EndpointState::kRemoved}},
        EndpointState::kUp);
    entry.weight = field_or(json, "Heft", 1.0);
    entry.started_at = field_or<Micros>(json, "ReadyAtUs", 0);
    parsed.push_back(std::move(entry));
  }
  return parsed;
}

std::optional<Event> parse_event(const Json& message, const EndpointLists& lists) {
  const auto message_type = required_field<std::string>(message, "what");
  if (message_type == "Knock") {
    return parse_request(message);
  }
  if (message_type == "Response") {
    return parse_attempt_completed(message);
  }
  if (message_type == "Alarm") {
    return TimerFired{required_field<std::int64_t>(message, "Label")};
  }
  if (message_type == "TimedOutClient") {
    return ClientDisconnected{required_field<std::string>(message, "Id")};
  }
  if (message_type == "CounterReply") {
    return parse_counter_reply(message);
  }
  if (message_type == "DirectoryUpdate") {
    return parse_endpoint_list_update(message, lists);
  }
  if (message_type == "Checked") {
    return parse_health_check(message);
  }
  if (message_type == "Begun") {
    return parse_stream_started(message);
  }
  return std::nullopt;
}

Json write_action(const Action& action) {
  return std::visit(ActionWriter{}, action);
}

}  // namespace quota_gateway::simulator
