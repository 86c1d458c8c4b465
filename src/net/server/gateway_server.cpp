#include "net/server/gateway_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <iostream>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;

// The client's time runs from its send; the answer has a way to go too.
constexpr Micros kEarly = 20'000;
constexpr double kEarlyShare = 0.1;  // of the client's patience, at the most
constexpr Micros kBackstop =
    10'000;  // us past our deadline, before the client's: the module said nothing
constexpr Micros kHandOver =
    1'000'000;  // us; clients go on connecting for up to 0.4 s after SIGTERM
constexpr Micros kLookDrained = 20'000;
constexpr Micros kLongestCounted = 3'000'000,
                 kKilledAfter = 700'000;  // us from SIGTERM to SIGKILL, together
constexpr Micros kBeforeKill = 150'000;   // us that the last attempts end before that
constexpr Micros kLastWords = 100'000;    // us of these for the answers to leave
constexpr Micros kTellWithin =
    500'000;  // us for discovery to answer; then the list we were given must do
constexpr std::size_t kClientMemory =
    256 << 10;  // bytes a client may come to: three bodies, and buffers

std::size_t most_clients(const GatewayConfig& config) {
  return std::max<std::size_t>(16, std::min(config.max_sockets / 2 - kMaxAdminConnections,
                                            config.memory_limit_mb * (1 << 20) / kClientMemory));
}

std::size_t most_connections(const GatewayConfig& config) {
  return std::max<std::size_t>(8, config.max_sockets * 2 / 5);
}

}  // namespace

GatewayServer::GatewayServer(asio::io_context& io, GatewayConfig config)
    : io_(io),
      settings_(config.settings),
      dial_timeout_(config.connect_timeout),
      timers_(io, clock_),
      gateway_(config.settings, config.seed),
      known_(std::move(config.persisted_endpoints)),
      upstream_(io, timers_, clock_,
                {config.connection_idle_timeout, config.connect_timeout, most_connections(config)},
                {[this](AttemptKey key, AttemptResult result) { ended(key, std::move(result)); },
                 [this](AttemptKey key) { written(key); },
                 [this](AttemptKey key) {
                   if (const auto it = requests_.find(key.request); it != requests_.end()) {
                     frontend_.request_body_piece(it->second.client);
                   }
                 },
                 [this](AttemptKey key, AttemptResult result, std::optional<std::uint64_t> length) {
                   started(key, std::move(result), length);
                 },
                 [this](AttemptKey key, std::string piece) {
                   if (const auto it = requests_.find(key.request); it != requests_.end()) {
                     frontend_.send_body_piece(it->second.client, std::move(piece));
                   }
                 }}),
      discovery_at_(config.discovery_address),
      discovery_(io, timers_, clock_,
                 {.agent = config.discovery_address,
                  .revision = known_->revision,
                  .seed = config.seed,
                  .max_rejection_backoff = config.max_discovery_backoff > 0
                                               ? std::optional(config.max_discovery_backoff)
                                               : std::nullopt,
                  .limits = list_limits_for_memory(config.memory_limit_mb)},
                 {.on_update = [this](EndpointList list) { told(std::move(list)); },
                  .on_response = [this] { believe_known(); }}),
      frontend_(
          io, timers_, clock_, settings_, most_clients(config),
          {[this](std::uint64_t client, ClientRequest r) { return took(client, std::move(r)); },
           [this](std::uint64_t id) { gone(id); },
           [this](std::uint64_t id, const std::string& piece, bool last) { more(id, piece, last); },
           [this](std::uint64_t id) {
             if (const auto it = requests_.find(id); it != requests_.end()) {
               upstream_.resume({id, int(it->second.attempts.size()) - 1});
             }
           },
           [this] { return !known_ && !partly_listed(); }}),
      succession_(io, timers_, config.shared_directory, config.name, config.listen_address,
                  [this] { met(); }),
      connections_(most_connections(config)) {
  count_at(config.counter_address);
  discovery_.start();
  for (const ClassSettings& c : settings_.classes) {
    replies_[c.name];
  }
  if (succession_.has_parent()) {
    frontend_.adopt(config.listen_address, succession_.take_inherited_listener().value_or(-1));
  } else {
    frontend_.listen(config.listen_address);
  }
  succession_.listen_for_child(frontend_.listening_socket());
  met();
  timers_.after(kTellWithin, [this] { believe_known(); });
  if (config.admin_address) {
    operators_.emplace(
        io, timers_, *config.admin_address, [this] { return ready(); },
        [this] { return figures(); });
  }
}

// ---- What happened
// ------------------------------------------------------------------------------------
std::optional<std::uint64_t> GatewayServer::took(std::uint64_t client, ClientRequest request) {
  // Danger: an id that is open belongs to somebody else; a server would take it for a second copy.
  if (!open_ids_.insert(request.forwarded.trace_id).second) {
    return std::nullopt;
  }
  const std::uint64_t id = ++last_;
  const Micros now = clock_.now();
  const Micros patience = request.timeout;
  Request& r = requests_[id];
  r.client = client;
  r.replies = &replies_[request.arrived.request_class];
  ++concurrent_;
  r.patience = patience - std::min(kEarly, Micros(kEarlyShare * double(patience)));
  r.deadline = latest(now + r.patience);
  r.whole = request.forwarded.body_complete;
  r.outgoing = std::move(request.forwarded);
  request.arrived.id = std::to_string(id);  // ours, since a client's may come twice
  request.arrived.deadline = r.deadline;
  request.arrived.body_pending = !r.whole;
  if (r.whole) {
    timers_.at(r.deadline + kBackstop, [this, id] { overdue(id); });
  }
  if (waits_for_list()) {
    waiting_.emplace_back(id, std::move(request.arrived));
  } else {
    push(std::move(request.arrived));
  }
  return id;
}

void GatewayServer::gone(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !close(it->second, &Replies::error)) {
    return;
  }
  if (it->second.streaming) {
    upstream_.abandon({id, int(it->second.attempts.size()) - 1});
    return forget(it);  // the module has had its end
  }
  push(ClientDisconnected{std::to_string(id)});
  forget(it);
}

// A request must not go unanswered, whatever the module does.
void GatewayServer::overdue(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered || it->second.streaming) {
    return;
  }
  std::cerr << "driver: request " << id << " overdue, failed\n";
  it->second.late = true;
  act(Fail{std::to_string(id)});
  push(ClientDisconnected{std::to_string(id)});
}

void GatewayServer::told(EndpointList list, EndpointListUpdate::Kind kind) {
  upstream_.take(std::move(list));
  if (!applying_) {
    apply(kind);
  }
}

// A slice of what was told, with the loop running before the next: a small list is in force at
// once. Danger: many thousand changes on end would hold up every request.
void GatewayServer::apply(EndpointListUpdate::Kind kind) {
  applying_ = false;
  EndpointListUpdate update;
  update.kind = kind;
  update.entries = upstream_.apply().entries;
  if (!update.entries.empty()) {
    push(std::move(update));
  }
  if (!upstream_.settled()) {
    applying_ = true;
    asio::post(io_, [this] { apply(); });
  } else {
    listed_ = listed_ || upstream_.listed() > 0;
    release();
  }
  look_ready();
}

// Danger: while the first list is only partly in force, all of a fleet that was started at once
// would turn to the same few servers.
bool GatewayServer::partly_listed() const {
  return applying_ && !listed_;
}
bool GatewayServer::waits_for_list() const {
  return partly_listed() ||
         (known_ && known_->endpoints.size() > EndpointTable::kMaxChangesPerSlice);
}

void GatewayServer::release() {
  for (auto& [id, arrived] : std::exchange(waiting_, {})) {
    if (requests_.contains(id)) {
      push(std::move(arrived));  // else its end has come
    }
  }
}

void GatewayServer::ended(AttemptKey key, AttemptResult result) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end()) {
    return;
  }
  Request& r = it->second;
  if (r.streaming && key.attempt + 1 == int(r.attempts.size())) {
    return finished(r, key, result);
  }
  if (!r.attempts.at(std::size_t(key.attempt)).out) {
    return;
  }
  if (result.outcome == Outcome::kOk) {
    ClientResponse served;
    served.status = 200;
    served.body = std::move(result.body);
    answer(r, std::move(served));
  }
  settle(it, key, result);
}

// The attempt is over for the module.
void GatewayServer::settle(Requests::iterator it, AttemptKey key, const AttemptResult& result) {
  Request& r = it->second;
  Attempt& a = r.attempts.at(std::size_t(key.attempt));
  a.out = false;
  --r.out;
  r.late = result.outcome == Outcome::kTimeout;
  AttemptCompleted e;
  e.id = std::to_string(key.request);
  e.attempt = key.attempt;
  e.server = a.server;
  e.outcome = result.outcome;
  // Danger: a long body that comes slowly, or an answer that trickles in, takes its server no
  // longer than others; told as its work it would look like a fleet that holds too much.
  e.duration = (result.began > 0 ? result.began : clock_.now()) - a.sent;
  e.load = result.load;
  e.billed_units = result.billed_units;
  e.quota_usage_percent = result.quota_usage_percent;
  e.request_answered = r.answered || r.streaming;
  push(std::move(e));
  forget(it);
}

void GatewayServer::written(AttemptKey key) {
  ++dispatches_;
  const auto it = requests_.find(key.request);
  // A long body's time runs from here on; that of others runs since they were sent.
  if (it == requests_.end() || !it->second.fed) {
    return;
  }
  Attempt& a = it->second.attempts.at(std::size_t(key.attempt));
  a.sent = clock_.now();
  a.until = latest(a.sent + a.patience);
  timers_.at(a.until, [this, key] { expire(key); });
  push(AttemptWritten{std::to_string(key.request), key.attempt});
}

void GatewayServer::more(std::uint64_t id, const std::string& piece, bool last) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) {
    return;
  }
  Request& r = it->second;
  r.fed = true;
  r.whole = last;
  if (last) {
    r.deadline = latest(clock_.now() + r.patience);
    timers_.at(r.deadline + kBackstop, [this, id] { overdue(id); });
  }
  upstream_.feed({id, int(r.attempts.size()) - 1}, piece, last);
}

// A long answer begins. For the module the attempt has ended well: its server has done the work,
// and nothing is left to decide.
void GatewayServer::started(AttemptKey key, AttemptResult result,
                            std::optional<std::uint64_t> length) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end() || !it->second.attempts.at(std::size_t(key.attempt)).out) {
    return;
  }
  Request& r = it->second;
  r.streaming = true;
  settle(it, key, result);
  frontend_.begin_response(r.client, length, std::move(result.body));
}

// A long answer has ended, as it should or not.
void GatewayServer::finished(Request& r, AttemptKey key, const AttemptResult& result) {
  const bool ok = result.outcome == Outcome::kOk;
  if (!close(r, ok ? &Replies::success : &Replies::error)) {
    return;
  }
  ok ? frontend_.finish_response(r.client) : frontend_.abort_response(r.client);
  if (!ok) {
    push(ResponseAborted{r.attempts.at(std::size_t(key.attempt)).server});
  }
  forget(requests_.find(key.request));
}

void GatewayServer::expire(AttemptKey key) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end() || !it->second.attempts.at(std::size_t(key.attempt)).out) {
    return;
  }
  if (!it->second.whole || clock_.now() < it->second.attempts.at(std::size_t(key.attempt)).until) {
    return;  // its time runs once it has gone out whole
  }
  const bool written = upstream_.abandon(key);
  ended(key, {written ? Outcome::kTimeout : Outcome::kConnectFailed, {}, {}});
}

// ---- The module
// --------------------------------------------------------------------------------------- What
// comes in one turn of the loop goes to the module together, once all of the turn is in.
void GatewayServer::push(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(flushing_, true)) {
    return;
  }
  asio::post(io_, [this] { flush(); });
}

void GatewayServer::flush() {
  flushing_ = false;
  std::vector<Event> events;
  std::vector<Action> actions;
  events.swap(events_);
  // Danger: a throw must not take the other actions of the batch with it; requests that nobody
  // answers then are failed when overdue.
  guarded("module", [&] { gateway_.handle(clock_.now(), events, actions); });
  for (const Action& action : actions) {
    guarded("action", [&] { std::visit([this](const auto& a) { act(a); }, action); });
  }
}

void GatewayServer::act(const SendAttempt& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) {
    return;
  }
  Request& r = it->second;
  const Micros now = clock_.now();
  const AttemptKey key{it->first, int(r.attempts.size())};
  r.attempts.push_back({a.server, now});
  ++r.out;
  const Micros until = a.timeout == 0 ? r.deadline : std::min(r.deadline, now + a.timeout);
  // The client may have gone since the events were handed over; and two are never out at once.
  if (r.answered || r.fed || until <= now || r.out > 1 ||
      int(r.attempts.size()) > settings_.max_attempts) {
    asio::post(io_, [this, key] { ended(key, {Outcome::kNotSent, {}, {}}); });
    return;
  }
  r.attempts.back().patience = until - now;
  r.attempts.back().until = until;
  timers_.at(until, [this, key] { expire(key); });
  upstream_.send(key, a.server, r.outgoing, until);
}

void GatewayServer::act(const CancelAttempt& a) {
  const auto it = find(a.id);
  if (it == requests_.end() || a.attempt < 0 || a.attempt >= int(it->second.attempts.size())) {
    return;
  }
  if (!it->second.attempts[std::size_t(a.attempt)].out) {
    return;
  }
  const AttemptKey key{it->first, a.attempt};
  const bool written = upstream_.abandon(key);
  ended(key, {written ? Outcome::kCancelled : Outcome::kNotSent, {}, {}});
}

void GatewayServer::act(const Reject& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) {
    return;
  }
  ClientResponse refused;
  refused.status = it->second.attempts.empty() ? 429 : 503;
  if (a.retry_after > 0) {
    refused.retry_after = a.retry_after;
  }
  answer(it->second, std::move(refused));
  forget(it);
}

void GatewayServer::act(const Fail& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) {
    return;
  }
  ClientResponse failed;
  failed.status = it->second.late ? 504 : 502;
  answer(it->second, std::move(failed));
  forget(it);
}

void GatewayServer::act(const SetTimer& a) {
  timers_.at(a.at, [this, token = a.token] { push(TimerFired{token}); });
}

void GatewayServer::act(const AddToCounter& a) {
  if (counter_) {
    return counter_->add(a);
  }
  push(CounterReply{a.name, 0, CounterOutcome::kNotAdded, 0});
}

void GatewayServer::act(const LogLine& a) {
  std::cerr << a.text << '\n';
}

// ---- Requests
// -----------------------------------------------------------------------------------------
GatewayServer::Requests::iterator GatewayServer::find(const std::string& id) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return requests_.find(number);
}

void GatewayServer::answer(Request& r, ClientResponse answer) {
  const bool refused = answer.status == 429 || answer.status == 503;
  const auto end = answer.status == 200 ? &Replies::success
                   : refused            ? &Replies::overload
                                        : &Replies::error;
  if (!close(r, end)) {
    return;  // one final answer, and only one
  }
  frontend_.respond(r.client, std::move(answer));
}

bool GatewayServer::close(Request& r, std::uint64_t Replies::*end) {
  if (std::exchange(r.answered, true)) {
    return false;
  }
  ++(r.replies->*end);
  --concurrent_;
  return true;
}

void GatewayServer::forget(Requests::iterator it) {
  if (!it->second.answered || it->second.out > 0) {
    return;
  }
  open_ids_.erase(it->second.outgoing.trace_id);
  requests_.erase(it);
}

// ---- A new configuration
// ------------------------------------------------------------------------------
void GatewayServer::reload(const GatewayConfig& config) {
  settings_ = config.settings;
  for (const ClassSettings& c : settings_.classes) {
    replies_[c.name];
  }
  push(SettingsChanged{settings_});
  if (config.discovery_address != discovery_at_) {
    discovery_at_ = config.discovery_address;
    discovery_.move_to(config.discovery_address);
  }
  if (config.counter_address != counter_at_) {
    count_at(config.counter_address);
  }
  ++reload_success_;
}

void GatewayServer::count_at(const std::optional<asio::ip::tcp::endpoint>& address) {
  counter_at_ = address;
  if (counter_) {
    std::exchange(counter_, nullptr)->close_when_idle();
  }
  if (!address) {
    return;
  }
  counter_ = std::make_shared<CounterClient>(io_, timers_, clock_, *address,
                                             settings_.counter_timeout, dial_timeout_,
                                             [this](CounterReply a) { push(std::move(a)); });
  counter_->start();
}

// ---- For the operators
// --------------------------------------------------------------------------------
bool GatewayServer::ready() const {
  return !drained_ && frontend_.is_accepting() && fit();
}

// Servers are known, by discovery if it answers at all.
bool GatewayServer::fit() const {
  return upstream_.any_up() && !known_ && !partly_listed();
}

// Danger: what the agent has counts as told from our first moment on, and the list that we were
// given may name servers that have long been draining. So it is in force only once the agent
// answers, with its news right behind; without one it must do. What comes meanwhile is held as
// while no server has room.
void GatewayServer::believe_known() {
  if (!known_) {
    return;
  }
  told(*std::exchange(known_, std::nullopt), EndpointListUpdate::Kind::kPersisted);
}

std::string GatewayServer::figures() const {
  std::string out;
  const auto line = [&](const std::string& name, std::uint64_t value) {
    out.append("app.").append(name).append("=").append(std::to_string(value)).append("\n");
  };
  for (const auto& [name, r] : replies_) {
    line("replies." + name + ".success", r.success);
    line("replies." + name + ".overload", r.overload);
    line("replies." + name + ".error", r.error);
  }
  line("dispatches", dispatches_);
  line("concurrent", concurrent_);
  line("targets", upstream_.listed());
  line("targets_disabled", std::uint64_t(gateway_.unavailable_endpoints()));
  line("reload_success", reload_success_);
  line("reload_failure", reload_failure_);
  return out;
}

std::optional<asio::ip::tcp::endpoint> GatewayServer::operators_address() const {
  if (!operators_) {
    return std::nullopt;
  }
  return operators_->address();
}

// ---- Another process of this gateway
// ------------------------------------------------------------------
void GatewayServer::met() {
  const int others = int(succession_.has_parent()) + int(succession_.has_child());
  if (std::exchange(others_, others) != others) {
    std::cerr << "succession: " << others << " other processes\n";
    push(PeerProcessesChanged{others});
  }
  // The limits are those of one gateway.
  upstream_.bound(std::max<std::size_t>(1, connections_ / std::size_t(1 + others)));
  if (succession_.child_accepting()) {
    frontend_.hand_over_new_clients();
  } else if (succession_.has_parent()) {
    look_ready();
  } else if (!frontend_.is_accepting()) {
    frontend_.start_accepting();
  }
}

// Until we are fit to serve, the old process goes on taking the new clients.
void GatewayServer::look_ready() {
  if (!succession_.has_parent() || frontend_.is_accepting() || succession_.child_accepting() ||
      !fit()) {
    return;
  }
  frontend_.start_accepting();
  succession_.notify_parent_ready();
}

// ---- The end
// ------------------------------------------------------------------------------------------
// Danger: at a planned restart we are killed once the longest deadline has passed, counted as 3 s
// where it is longer, and 0.7 s more. What is unanswered then is lost, so all of it has its answer
// shortly before.
void GatewayServer::drain(std::function<void()> done) {
  if (drained_) {
    return;
  }
  drained_ = std::move(done);
  Micros longest = 0;
  for (const ClassSettings& c : settings_.classes) {
    longest = std::max(longest, c.deadline);
  }
  drain_until_ = clock_.now() + std::min(longest, kLongestCounted) + kKilledAfter - kBeforeKill;
  frontend_.drain();
  timers_.after(kHandOver, [this] { look_drained(); });
  timers_.at(drain_until_, [this] { hurry(); });
  timers_.at(drain_until_ + kBackstop, [this] { end_all(); });
}

// Attempts have had their time; the module tells what becomes of their requests.
void GatewayServer::hurry() {
  std::vector<AttemptKey> out;
  for (auto& [id, r] : requests_) {
    r.deadline = latest(r.deadline);
    for (std::size_t i = 0; i < r.attempts.size(); ++i) {
      if (r.attempts[i].out) {
        out.push_back({id, int(i)}), r.attempts[i].until = latest(r.attempts[i].until);
      }
    }
  }
  for (const AttemptKey& key : out) {
    expire(key);
  }
}

void GatewayServer::end_all() {
  std::vector<std::uint64_t> open;
  for (const auto& [id, r] : requests_) {
    if (!r.answered) {
      open.push_back(id);
    }
  }
  for (const auto id : open) {
    const Request& r = requests_.at(id);
    r.streaming ? frontend_.abort_response(r.client) : overdue(id);
  }
}

void GatewayServer::look_drained() {
  const bool held = std::any_of(requests_.begin(), requests_.end(),
                                [](const auto& entry) { return !entry.second.answered; });
  if ((!held && frontend_.is_idle()) || clock_.now() >= drain_until_ + kLastWords) {
    return drained_();
  }
  timers_.after(kLookDrained, [this] { look_drained(); });
}

}  // namespace quota_gateway::net
