// The backends that a broker knows: taking in a new view of them, and connections kept to them.
#include <algorithm>

#include "broker/broker_loop.h"

namespace saddlewing {
namespace {

constexpr Duration warm_span{8000};     // how long a connection is kept before its first asking
constexpr Duration in_use_span{20000};  // after its last asking a backend is in use
constexpr Duration warm_pause{3000};    // between connections opened in advance to one backend

}  // namespace

void BrokerLoop::take_view(ViewSnapshot view, TimePoint now) {
  const auto version_of = [](const View& some) {
    return some.configuration ? some.configuration->version : Version{};
  };
  if (!check_invariant(Invariant::version_in_force_never_falls,
                       version_of(*view) >= version_of(*view_), [&] {
                         return "version " + std::to_string(version_of(*view).value) + " after " +
                                std::to_string(version_of(*view_).value);
                       }))
    return;
  view_ = std::move(view);
  std::map<std::string, BackendPointer> kept;
  for (const Endpoint& entry : view_->backends) {
    BackendPointer backend = update_backend(backends_, entry, settings_.zones, now);
    if (!backend)
      continue;
    kept[entry.id] = std::move(backend);
  }
  for (const auto& [id, backend] : backends_) {
    if (!kept.contains(id))
      backend->is_draining = true;
    if (!backend->is_draining)
      continue;
    const auto idle = idle_.find(backend.get());
    if (idle == idle_.end())
      continue;
    for (BackendConnection* connection : std::vector<BackendConnection*>(idle->second))
      defer_delete(connection);
    idle_.erase(backend.get());
  }
  backends_ = std::move(kept);
  by_name_.clear();
  for (const auto& [id, backend] : backends_)
    if (!backend->is_draining)
      by_name_[backend->service].push_back(backend);
  if (!view_->configuration)
    return;
  metrics().set(Metric::configuration_version, view_->configuration->version.value);
  auto table = std::make_shared<RoutingTable>();
  table->configuration = view_->configuration;
  std::unordered_map<std::string, std::size_t> indices;
  for (const Service& service : table->configuration->services)
    indices[service.name] = indices.size();
  table->by_service.resize(indices.size());
  for (const auto& [name, backends] : by_name_)
    if (const auto found = indices.find(name); found != indices.end())
      table->by_service[found->second] = backends;
  table_ = std::move(table);
  const std::string address = Address{settings_.ip_address, settings_.own_port}.text();
  for (std::size_t index = 0; index < table_->by_service.size(); ++index) {
    const auto& backends = table_->by_service[index];
    choose_subset(backends, {settings_.zone, settings_.region}, address,
                  table_->configuration->services[index].max_connections * 4 / 5,
                  static_cast<int>(std::max<std::uint64_t>(1, view_->brokers)));
    for (const BackendPointer& backend : backends)
      keep_warm(backend);
  }
  mark_edges();
  const Limits& limits = table_->configuration->limits;
  server_.set_limits(
      {limits.max_header_bytes, limits.max_body_bytes, limits.header_wait, limits.quiet});
}

// One connection to each backend in use stays open, and one to each far away: an asking there must
// not wait for a handshake. To near ones a handshake is short, so connections to them follow the
// requests, not brokers times backends.
void BrokerLoop::keep_warm(const BackendPointer& backend) {
  const auto usual = by_name_.find(backend->service);
  const TimePoint now = Clock::now();
  if (backend->is_draining || backend->connections > 0 || !backend->is_in_subset ||
      now < backend->preconnect_after || usual == by_name_.end() || is_leaving_ || !table_)
    return;
  if (backend->region == settings_.region && now - backend->last_request_at > in_use_span)
    return;
  const auto& services = table_->configuration->services;
  if (std::none_of(services.begin(), services.end(),
                   [&](const Service& service) { return service.name == backend->service; }))
    return;
  auto fresh = std::make_unique<BackendConnection>(*this, backend);
  BackendConnection* connection = fresh.get();
  connections_[connection] = std::move(fresh);
  backend->preconnect_after =
      now + warm_pause;  // one that ends at once is not opened again and again
  if (connection->is_ended())
    return defer_delete(connection);
  const auto learnt = idle_spans_.find(backend->service);
  connection->rest(now, learnt == idle_spans_.end() ? warm_span : learnt->second);
}

}  // namespace saddlewing
