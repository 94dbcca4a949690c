#include "programs/traffic.h"

#include <glog/logging.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "protocol/calls.h"

namespace saddlewing {
namespace {

constexpr Span still_chosen{
    2500};  // after SIGTERM the platform may go on sending for two missed checks
constexpr Span warm_span{8000};     // how long a connection is kept before its first asking
constexpr Span in_use_span{20000};  // after its last asking a backend is in use
constexpr Span warm_pause{3000};    // between connections opened in advance to one backend
constexpr Span before_end{700};     // of the grace, kept for the end itself

Span parse_time_left(const std::string& text, Span otherwise) {
  if (text.empty() || text.size() > 9)
    return otherwise;
  std::int64_t value = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9')
      return otherwise;
    value = value * 10 + (digit - '0');
  }
  return Span(value);
}

std::string lower(std::string text) {
  for (char& letter : text)
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter + 32);
  return text;
}

// The head as every backend gets it, without the lines that differ and without its end.
std::string start_head(const Poco::Net::HTTPRequest& request, std::size_t body_size) {
  std::string head = request.getMethod() + " " + request.getURI() + " HTTP/1.1\r\n";
  const std::string nominated = "," + lower(request.get("Connection", "")) + ",";
  for (const auto& [name, value] : request) {
    if (is_hop_field(name) || is_same_name(name, field::time_left) ||
        is_same_name(name, field::meant_server) || is_same_name(name, field::ring_mark) ||
        is_same_name(name, field::ring_show) || is_same_name(name, field::ring_hide))
      continue;
    if (nominated.size() > 2 && nominated.find(lower(name)) != std::string::npos &&
        !is_same_name(name, "Host") && !is_same_name(name, field::try_id))
      continue;
    ((head += name) += ": ") += value + "\r\n";
  }
  const std::string& method = request.getMethod();
  if (body_size || method == "POST" || method == "PUT" || method == "PATCH")
    head += "Content-Length: " + std::to_string(body_size) + "\r\n";
  return head;
}

// What a node of the ring is told: the sheet that the request goes by, and whether it shows the
// unit that is on the move.
std::string ring_fields(const RingView& view, const std::string& node) {
  const std::size_t index = view.map.index_of(node);
  if (index == view.map.nodes.size())
    return {};
  std::string fields = std::string(field::ring_mark) + ": " + std::to_string(view.mark) + "\r\n";
  if (const auto told = view.tellings.find(index); told != view.tellings.end())
    fields += std::string(told->second.is_shown ? field::ring_show : field::ring_hide) + ": " +
              told->second.unit.text() + "\r\n";
  return fields;
}

}  // namespace

void Trip::on_due(Moment now) {
  const auto kept = traffic.trips_.find(asker.get());
  const TripPointer self = kept != traffic.trips_.end() ? kept->second : nullptr;
  asker->on_due(now);
  traffic.arrange(*this);
}

Traffic::Traffic(const Startup& startup, LifeId life)
    : startup_(startup),
      server_(poller_, schedule_, *this, static_cast<std::size_t>(startup.file_handles) / 3,
              startup.memory_bytes / 4),
      readiness_(*this),
      ready_server_(poller_, schedule_, readiness_, 64, 1 << 20),
      views_(64, [this] { poller_.wake(); }),
      picker_({startup.locality, startup.region}, life.value),
      draw_(static_cast<std::uint32_t>(life.value)),
      aid_events_(4096, [this] { poller_.wake(); }),
      life_(life),
      ring_news_(64, [this] { poller_.wake(); }),
      alert_rules_(4, [this] { poller_.wake(); }),
      edge_news_(64, [this] { poller_.wake(); }),
      edge_gate_(startup.region, life.value, edge_options(startup)),
      classes_(startup.heavy_times) {
}

Fault Traffic::open() {
  if (Fault found = ready_server_.open(startup_.ready_check))
    return found;
  return server_.open(startup_.front);
}

void Traffic::start() {
  thread_ = std::thread([this] { run(); });
}

void Traffic::run() {
  if (startup_.has_edges)
    edge_clock_.on_due(Clock::now());
  for (;;) {
    poller_.poll(schedule_.until_next(Clock::now(), is_leaving_ ? Span(50) : Span(1000)));
    const Moment now = Clock::now();
    auto views = views_.take();
    if (!views.empty())
      take_view(std::move(views.back()), now);
    for (auto& rules : alert_rules_.take()) {
      alerts_.replace(std::move(rules));
      if (!alerts_.is_empty())
        alert_clock_.on_due(now);
    }
    for (RingNews& news : ring_news_.take())
      take_ring(std::move(news), now);
    for (EdgeNews& news : edge_news_.take())
      take_edges(std::move(news), now);
    for (AidEvent& event : aid_events_.take())
      take_aid_event(event, now);
    schedule_.run(now);
    server_.reap();
    ready_server_.reap();
    graves_.clear();
    ended_trips_.clear();
    if (!should_leave_)
      continue;
    check_leaving(now);
    if (is_leaving_ && (now - left_ > startup_.grace - before_end ||
                        (now - left_ > still_chosen && server_.count() == 0)))
      return;
  }
}

void Traffic::check_leaving(Moment now) {
  if (!is_leaving_) {
    is_leaving_ = true;
    left_ = now;
    server_.set_leaving();
    LOG(INFO) << "traffic: leaving, " << server_.count() << " connections open";
  }
  if (now - left_ <= std::min(still_chosen, startup_.grace / 2))
    return;
  server_.stop_admitting();
  server_.close_idle();
  server_.reap();
}

void Traffic::take_view(ViewSnapshot view, Moment now) {
  view_ = std::move(view);
  std::map<std::string, BackendPointer> kept;
  for (const RosterEntry& entry : view_->backends) {
    BackendPointer backend = keep_backend(backends_, entry, startup_.localities, now);
    if (!backend)
      continue;
    kept[entry.id] = std::move(backend);
  }
  for (const auto& [id, backend] : backends_) {
    if (!kept.contains(id))
      backend->is_cancelled = true;
    if (!backend->is_cancelled)
      continue;
    const auto idle = idle_.find(backend.get());
    if (idle == idle_.end())
      continue;
    for (Wire* wire : std::vector<Wire*>(idle->second))
      bury(wire);
    idle_.erase(backend.get());
  }
  backends_ = std::move(kept);
  by_name_.clear();
  for (const auto& [id, backend] : backends_)
    if (!backend->is_cancelled)
      by_name_[backend->service].push_back(backend);
  if (!view_->configuration)
    return;
  metrics().set(Metric::version, view_->configuration->version.value);
  auto table = std::make_shared<Table>();
  table->configuration = view_->configuration;
  std::unordered_map<std::string, std::size_t> indices;
  for (const Service& service : table->configuration->services)
    indices[service.name] = indices.size();
  table->by_service.resize(indices.size());
  for (const auto& [name, backends] : by_name_)
    if (const auto found = indices.find(name); found != indices.end())
      table->by_service[found->second] = backends;
  table_ = std::move(table);
  const std::string address = Address{startup_.ip_address, startup_.own_port}.text();
  for (std::size_t index = 0; index < table_->by_service.size(); ++index) {
    const auto& backends = table_->by_service[index];
    choose_own(backends, {startup_.locality, startup_.region}, address,
               table_->configuration->services[index].most_connections * 4 / 5,
               static_cast<int>(std::max<std::uint64_t>(1, view_->brokers)));
    for (const BackendPointer& backend : backends)
      keep_warm(backend);
  }
  mark_edges();
  const Limits& limits = table_->configuration->limits;
  server_.set_limits(
      {limits.most_header_bytes, limits.most_body_bytes, limits.header_wait, limits.quiet});
}

void Traffic::on_request(Visit& visit, Moment now) {
  begin(visit, nullptr, now);
}

void Traffic::begin(Visit& visit, const Trip* before, Moment now) {
  if (!view_->is_ready || !table_) {
    Reply reply = reply_of(Kind::not_ready);
    reply.fields += "Retry-After: 0.3\r\n";
    return visit.answer(std::move(reply), now);
  }
  const auto& request = visit.request();
  const Rule* rule = table_->configuration->match(request.get("Host", ""), request.getURI());
  if (!rule)
    return visit.answer(reply_of(Kind::no_rule), now);
  if (!before)
    metrics().add(Metric::requests);
  if (rule->rank >= alerts_.refuse_from()) {
    metrics().add(Metric::refusals);
    Reply reply = reply_of(Kind::overloaded);
    reply.fields += "Retry-After: 1\r\n";
    return visit.answer(std::move(reply), now);
  }
  auto trip = std::make_shared<Trip>(*this, visit.id());
  trip->try_id = request.get(field::try_id, "");
  if (trip->try_id.empty())
    return visit.answer(reply_of(Kind::malformed, "a request needs its Try-Id"), now);
  std::optional<ServiceIndex> placed;
  if (before)
    trip->rounds = before->rounds + 1, trip->connections = before->connections;
  if (is_of_ring(*rule) && !place(visit, *rule, *trip, placed, now))
    return;
  trip->method = request.getMethod();
  trip->head_start = start_head(request, visit.body().size());
  trip->body = std::move(visit.body());
  const Span time_left = parse_time_left(request.get(field::time_left, ""), rule->give_up);
  auto errand = std::make_unique<Errand>(*this, table_, *rule, visit.began(), time_left);
  if (placed)
    errand->choose(*placed);
  trip->errand = errand.get();
  trip->asker = std::move(errand);
  trips_[trip->errand] = trip;
  by_visit_[visit.id()] = trip->errand;
  if (before)
    trip->errand->start_again(*before->errand, now);
  else
    trip->errand->start(now);
  arrange(*trip);
}

void Traffic::arrange(Trip& trip) {
  if (trip.asker->is_open())
    return schedule_.set(trip, trip.asker->next_due());
  schedule_.drop(trip);
  end_trip(trip.asker.get());
}

void Traffic::on_gone(Visit& visit) {
  parked_.erase(visit.id());
  const auto found = by_visit_.find(visit.id());
  if (found == by_visit_.end())
    return;
  Errand* errand = found->second;
  by_visit_.erase(found);
  errand->abandon();
  end_trip(errand);
}

// Wires may still hold the trip; it is freed between rounds at the earliest.
void Traffic::end_trip(const Asker* asker) {
  const auto found = trips_.find(asker);
  if (found == trips_.end())
    return;
  schedule_.drop(*found->second);
  if (found->second->place)
    leave_place(*found->second, Clock::now());
  ended_trips_.push_back(std::move(found->second));
  trips_.erase(found);
  if (const auto token = aid_tokens_.find(asker); token != aid_tokens_.end()) {
    if (const auto call = aid_calls_.find(token->second); call != aid_calls_.end()) {
      --aides_[call->second.to].under_way;
      aid_calls_.erase(call);
    }
    aid_tokens_.erase(token);
  }
}

std::string Traffic::head_for(const Trip& trip, const Backend& backend, Moment now) const {
  const auto left = std::max<std::int64_t>(1, span_between(now, trip.asker->deadline()).count());
  std::string head = trip.head_start + field::time_left + ": " + std::to_string(left) + "\r\n" +
                     field::meant_server + ": " + backend.id + "\r\n";
  if (trip.ring)
    head += ring_fields(*trip.ring, backend.service);
  return head + "\r\n";
}

bool Traffic::ask(Asker& asker, std::size_t part, Backend& backend, Moment now) {
  const auto trip = trips_.find(&asker);
  const auto pointer = backends_.find(backend.id);
  if (trip == trips_.end() || pointer == backends_.end() || pointer->second.get() != &backend)
    return false;
  metrics().add(Metric::askings);
  auto& idle = idle_[&backend];
  for (std::size_t at = idle.size(); at-- > 0;) {
    Wire* wire = idle[at];
    if (std::ranges::count(trip->second->connections, wire->serial()))
      continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (wire->ask(trip->second, part, now))
      return true;
    bury(wire);
  }
  auto fresh = std::make_unique<Wire>(*this, pointer->second);
  Wire* wire = fresh.get();
  wires_[wire] = std::move(fresh);
  if (wire->ask(trip->second, part, now))
    return true;
  backend.breaker.fail(now, true);
  bury(wire);
  return false;
}

void Traffic::answer(Errand& errand, FinalAnswer answer, Moment now) {
  const auto found = trips_.find(&errand);
  if (found == trips_.end())
    return;
  const TripPointer trip = found->second;
  end_trip(&errand);
  by_visit_.erase(trip->visit);
  Visit* visit = server_.find(trip->visit);
  if (!visit)
    return;
  Reply reply;
  if (answer.kind != Kind::none) {
    reply = reply_of(answer.kind);
    if (reply.status >= 500)
      metrics().add(Metric::answers_own_5xx);
    if (reply.status == 503)
      metrics().add(Metric::refusals);
    if (answer.retry_after > Span(0))
      reply.fields +=
          "Retry-After: " + std::to_string(static_cast<double>(answer.retry_after.count()) / 1000) +
          "\r\n";
  } else {
    reply = {answer.status, std::move(answer.reason), std::move(answer.fields),
             std::move(answer.body)};
    reply.is_bodiless = trip->method == "HEAD" && !errand.is_gathering();
    if (errand.is_gathering())
      reply.fields += std::string(field::try_id) + ": " + trip->try_id + "\r\n";
  }
  visit->answer(std::move(reply), now);
}

Budget& Traffic::budget(const std::string& service) {
  return budgets_.try_emplace(service, startup_.retry_span, startup_.retry_share).first->second;
}

PickResult Traffic::pick(const std::vector<BackendPointer>& backends,
                         const std::vector<const Backend*>& tried, int most_connections, Moment now,
                         const PickWish& wish) {
  const auto brokers = static_cast<int>(std::max<std::uint64_t>(1, view_->brokers));
  return picker_.pick(backends, tried, std::max(1, most_connections * 4 / 5 / brokers), now, wish);
}

// One connection to each backend in use stays open, and one to each far away: an asking there must
// not wait for a handshake. To near ones a handshake is short, so connections to them follow the
// requests, not brokers times backends.
void Traffic::keep_warm(const BackendPointer& backend) {
  const auto usual = by_name_.find(backend->service);
  const Moment now = Clock::now();
  if (backend->is_cancelled || backend->connections > 0 || !backend->is_own ||
      now < backend->warm_after || usual == by_name_.end() || is_leaving_ || !table_)
    return;
  if (backend->region == startup_.region && now - backend->last_asked > in_use_span)
    return;
  const auto& services = table_->configuration->services;
  if (std::none_of(services.begin(), services.end(),
                   [&](const Service& service) { return service.name == backend->service; }))
    return;
  auto fresh = std::make_unique<Wire>(*this, backend);
  Wire* wire = fresh.get();
  wires_[wire] = std::move(fresh);
  backend->warm_after = now + warm_pause;  // one that ends at once is not opened again and again
  if (wire->is_ended())
    return bury(wire);
  const auto learnt = idle_spans_.find(backend->service);
  wire->rest(now, learnt == idle_spans_.end() ? warm_span : learnt->second);
}

void Traffic::bury(Wire* wire) {
  const auto found = wires_.find(wire);
  if (found == wires_.end())
    return;
  if (const auto idle = idle_.find(&wire->backend()); idle != idle_.end())
    std::erase(idle->second, wire);
  schedule_.drop(*wire);
  wire->end();
  graves_.push_back(std::move(found->second));
  wires_.erase(found);
}

void Traffic::read_alerts(const std::string& path) {
  std::vector<AlertRule> rules;
  if (!path.empty()) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const Fault found =
        file ? read_alert_rules(text.str(), rules) : fault(Kind::unreadable, "alert rules");
    if (found) {
      LOG(ERROR) << "alerts: " << path << " refused, the rules before it stay: " << found.text();
      return;
    }
    LOG(INFO) << "alerts: " << rules.size() << " rules from " << path;
  }
  alert_rules_.replace(std::move(rules));
}

void Traffic::show_gauges() const {
  metrics().set(Metric::visits, static_cast<std::int64_t>(server_.count()));
  metrics().set(Metric::errands, static_cast<std::int64_t>(trips_.size()));
  metrics().set(Metric::ready, is_ready());
}

void Traffic::AlertClock::on_due(Moment now) {
  traffic.show_gauges();
  for (const std::string& turned : traffic.alerts_.evaluate(
           [](Metric metric) { return static_cast<double>(metrics().get(metric)); }, now))
    LOG(WARNING) << "alerts: " << turned;
  if (!traffic.alerts_.is_empty())
    traffic.schedule_.set(*this, now + 1s);
}

void Traffic::Readiness::on_request(Visit& visit, Moment now) {
  const std::string& target = visit.request().getURI();
  if (target == row_of(Call::metrics).path) {
    traffic_.show_gauges();
    return visit.answer(
        {200, "OK", "Content-Type: text/plain; version=0.0.4\r\n", metrics().page()}, now);
  }
  if (target.substr(0, target.find('?')) != row_of(Call::readiness).path)
    return visit.answer(reply_of(Kind::no_rule), now);
  if (traffic_.is_ready())
    return visit.answer({200, "OK", "", "ready\n"}, now);
  visit.answer(reply_of(traffic_.is_leaving_ ? Kind::draining : Kind::not_ready), now);
}

}  // namespace saddlewing
