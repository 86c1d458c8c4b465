#include "net/server/gateway_server.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMinClients = 16;
constexpr Micros kResumeInterval = 100'000;  // us
constexpr std::size_t kBytesPerMegabyte = 1 << 20;

std::size_t max_clients(const GatewayConfig& config) {
  return std::max(kMinClients, config.max_sockets / 2 - kMaxAdminConnections);
}

BufferLimits message_buffer_limits(const GatewayConfig& config) {
  return buffer_limits(config.memory_limit_mb * kBytesPerMegabyte, max_clients(config));
}

MemoryBudget memory_budget(ProcessMemory* memory, const GatewayConfig& config) {
  if (memory == nullptr) {
    return {};
  }
  return {*memory, config.memory_limit_mb * kBytesPerMegabyte};
}

ClientListenerLimits client_limits(const GatewayConfig& config) {
  return {.max_clients = max_clients(config), .buffers = message_buffer_limits(config)};
}

std::size_t max_connections(const GatewayConfig& config) {
  return std::max<std::size_t>(8, config.max_sockets * 2 / 5);
}

ConnectionPoolLimits pool_limits(const GatewayConfig& config) {
  ConnectionPoolLimits limits;
  limits.server_idle_timeout = config.connection_idle_timeout;
  limits.connect_timeout = config.connect_timeout;
  limits.max_connections = max_connections(config);
  limits.buffers = message_buffer_limits(config);
  return limits;
}

DiscoveryOptions discovery_options(const GatewayConfig& config, std::int64_t revision) {
  DiscoveryOptions options;
  options.agent = config.discovery_address;
  options.revision = revision;
  options.seed = config.seed;
  if (config.max_discovery_backoff > 0) {
    options.max_rejection_backoff = config.max_discovery_backoff;
  }
  options.limits = list_limits_for_memory(config.memory_limit_mb);
  return options;
}

}  // namespace

GatewayServer::GatewayServer(asio::io_context& io, GatewayConfig config, ProcessMemory* memory)
    : io_(io),
      settings_(config.settings),
      connect_timeout_(config.connect_timeout),
      timers_(io, clock_),
      loop_{io, clock_, timers_},
      memory_(memory_budget(memory, config)),
      memory_monitor_(timers_, clock_, memory_),
      gateway_(config.settings, config.seed),
      events_(loop_, gateway_, executor_),
      executor_(loop_, events_, dispatcher_),
      finisher_(clock_, requests_, clients_, stats_),
      reporter_(loop_, requests_, events_),
      deadlines_(loop_, {settings_, requests_, clients_, events_, finisher_, reporter_},
                 expiry_callback()),
      streamer_(clock_,
                {requests_, pool_, clients_, events_, finisher_, reporter_, deadlines_, stats_}),
      dispatcher_(loop_, {settings_, requests_, pool_, clients_, events_, stats_, finisher_,
                          reporter_, deadlines_, streamer_, guard_, endpoint_lists_}),
      endpoint_lists_(loop_, pool_, events_, std::move(config.persisted_endpoints),
                      endpoint_list_callbacks()),
      pool_(io, timers_, clock_, pool_limits(config), attempt_events()),
      discovery_address_(config.discovery_address),
      discovery_(io, timers_, clock_,
                 discovery_options(config, endpoint_lists_.persisted_revision()),
                 discovery_callbacks()),
      clients_(io, timers_, clock_, settings_, memory_, client_limits(config), client_callbacks()),
      handover_(loop_, config, {pool_, clients_, memory_, events_, endpoint_lists_},
                max_connections(config)),
      shutdown_(loop_, requests_, deadlines_, clients_) {
  timers_.every(kResumeInterval, [this] { resume_work(); });
  use_counter(config.counter_address);
  discovery_.start();
  stats_.add_classes(settings_.classes);
  handover_.start();
  endpoint_lists_.start();
  if (config.admin_address) {
    const AdminHandlers handlers{[this] { return is_ready(); }, [this] { return render_stats(); }};
    admin_.emplace(io, timers_, *config.admin_address, handlers);
  }
}

std::function<void(AttemptKey, AttemptResult)> GatewayServer::expiry_callback() {
  return [this](AttemptKey key, AttemptResult result) {
    dispatcher_.on_attempt_complete(key, std::move(result));
  };
}

AttemptEvents GatewayServer::attempt_events() {
  AttemptEvents events;
  events.may_begin = [this](AttemptKey key) { return dispatcher_.may_begin_attempt(key); };
  events.on_complete = [this](AttemptKey key, AttemptResult result) {
    dispatcher_.on_attempt_complete(key, std::move(result));
  };
  events.on_request_written = [this](AttemptKey key) { dispatcher_.on_attempt_written(key); };
  events.on_body_piece_needed = [this](AttemptKey key) { streamer_.on_body_piece_written(key); };
  events.on_response_started = [this](AttemptKey key, const AttemptResult& result,
                                      std::optional<std::uint64_t> length) {
    streamer_.on_response_started(key, result, length);
  };
  events.on_response_piece = [this](AttemptKey key, std::string piece) {
    streamer_.on_response_piece(key, std::move(piece));
  };
  return events;
}

ClientListenerCallbacks GatewayServer::client_callbacks() {
  ClientListenerCallbacks callbacks;
  callbacks.on_request = [this](ClientId client, ClientRequest request) {
    return dispatcher_.on_client_request(client, std::move(request));
  };
  callbacks.on_following_request_ends = [this](std::uint64_t id, Micros end) {
    deadlines_.limit_by_following_request(id, end);
  };
  callbacks.on_client_disconnected = [this](std::uint64_t id) {
    dispatcher_.on_client_disconnect(id);
  };
  callbacks.on_closed_unanswered = [this](std::uint64_t id, const SessionClose& cause) {
    guard_.on_closed(id, cause);
  };
  callbacks.on_body_piece = [this](std::uint64_t id, const std::string& piece, bool is_last) {
    streamer_.on_body_piece(id, piece, is_last);
  };
  callbacks.on_body_arrived = [this](std::uint64_t id) { streamer_.on_body_arrived(id); };
  callbacks.on_piece_sent = [this](std::uint64_t id) { streamer_.on_response_piece_sent(id); };
  callbacks.is_serving = [this] { return endpoint_lists_.has_initial_list(); };
  return callbacks;
}

EndpointListCallbacks GatewayServer::endpoint_list_callbacks() {
  EndpointListCallbacks callbacks;
  callbacks.on_list_applied = [this] { dispatcher_.release_held_requests(); };
  callbacks.on_slice_applied = [this] { handover_.replace_parent_if_ready(); };
  return callbacks;
}

DiscoveryCallbacks GatewayServer::discovery_callbacks() {
  DiscoveryCallbacks callbacks;
  callbacks.on_update = [this](EndpointList list) {
    endpoint_lists_.on_discovery_list(std::move(list));
  };
  callbacks.on_response = [this] { endpoint_lists_.apply_persisted_list(); };
  return callbacks;
}

std::optional<asio::ip::tcp::endpoint> GatewayServer::admin_address() const {
  if (!admin_) {
    return std::nullopt;
  }
  return admin_->address();
}

void GatewayServer::reload(const GatewayConfig& config) {
  settings_ = config.settings;
  stats_.add_classes(settings_.classes);
  events_.push(SettingsChanged{settings_});
  if (config.discovery_address != discovery_address_) {
    discovery_address_ = config.discovery_address;
    discovery_.switch_agent(config.discovery_address);
  }
  if (config.counter_address != counter_address_) {
    use_counter(config.counter_address);
  }
  stats_.on_reload(ReloadResult::kApplied);
}

void GatewayServer::on_reload_rejected() {
  stats_.on_reload(ReloadResult::kRejected);
}

void GatewayServer::use_counter(const std::optional<asio::ip::tcp::endpoint>& address) {
  counter_address_ = address;
  executor_.use_counter(nullptr);
  if (!address) {
    return;
  }
  auto counter = std::make_shared<CounterClient>(
      io_, timers_, clock_, *address, settings_.counter_timeout, connect_timeout_,
      [this](const CounterReply& reply) { events_.push(reply); });
  executor_.use_counter(counter);
  counter->start();
}

void GatewayServer::resume_work() {
  std::size_t resumed = 0;
  const auto resume = [&resumed](const auto& step) {
    run_and_log_exceptions("resuming work", [&] { resumed += step(); });
  };
  resume([this] { return std::size_t(timers_.resume()); });
  resume([this] { return std::size_t(events_.resume()); });
  resume([this] { return clients_.resume(); });
  resume([this] { return deadlines_.resume(); });
  resume([this] { return std::size_t(discovery_.resume()); });
  resume([this] { return std::size_t(executor_.resume_counter()); });
  resume([this] { return std::size_t(endpoint_lists_.resume()); });
  resume([this] { return std::size_t(admin_ && admin_->resume()); });
  resume([this] { return std::size_t(resume_owner_()); });
  stats_.on_work_resumed(resumed);
}

void GatewayServer::drain(std::function<void()> on_drained) {
  shutdown_.start(settings_.classes, std::move(on_drained));
}

bool GatewayServer::is_ready() const {
  return !shutdown_.is_started() && clients_.is_accepting() && endpoint_lists_.is_ready();
}

std::string GatewayServer::render_stats() const {
  EndpointCounts endpoints;
  endpoints.listed = pool_.endpoint_count();
  endpoints.unavailable = std::size_t(gateway_.unavailable_endpoints());
  UpstreamCounts upstream;
  upstream.connections = pool_.connection_counts();
  upstream.owned_attempts = requests_.attempts_with_connection();
  MemoryCounts memory;
  memory.used_bytes = memory_.used_bytes();
  memory.limit_bytes = memory_.limit_bytes();
  memory.rejected_requests = memory_.rejected_requests();
  memory.refused_allocations = memory_.refused_allocations();
  memory.failed_allocations = memory_.failed_allocations();
  memory.reserve_used_bytes = memory_.reserve().used_bytes;
  RequestCounts requests;
  requests.violations = guard_.violations();
  requests.undecided = deadlines_.undecided();
  requests.crossed_ends = clients_.crossed_ends();
  requests.dropped_input_segments = clients_.dropped_input_segments();
  const EventLoopLag& lag = clients_.event_loop_lag();
  const EventLoopCounts event_loop{.delays = lag.delays(), .max_delay = lag.max_delay()};
  return stats_.render(endpoints, upstream, memory, requests, event_loop);
}

}  // namespace quota_gateway::net
