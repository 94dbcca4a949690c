#pragma once
// A broker as a request sees it, without sockets or clock: records the attempts and the response.
#include <criterion/criterion.h>

#include <map>

#include "coordination/routing/proxied_request.h"
#include "protocol/discovery_messages.h"
#include "protocol/gather_messages.h"

namespace saddlewing::tests {

inline constexpr TimePoint start = TimePoint{} + 1000s;

// Implements the callbacks of one request and records what it sends.
class RequestFixture final : public ProxiedRequest::Callbacks {
 public:
  struct SentAttempt {
    std::size_t part;
    Backend* backend;
  };
  explicit RequestFixture(const std::string& route, int copies = 2, int tries = 2) {
    const std::string body =
        R"({"version":1,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"s3"}],"routes":[{"host":"h",)"
        R"("path_start":"/a/","give_up_ms":1000,"target_ms":200,"tries":)" +
        std::to_string(tries) + "," + route + "}]}";
    ConfigurationSnapshot snapshot;
    const Error found = read_configuration(body, snapshot);
    cr_assert(!found, "%s", found.text().c_str());
    auto table = std::make_shared<RoutingTable>();
    table->configuration = snapshot;
    table->by_service.resize(snapshot->services.size());
    for (std::size_t service = 0; service < table->by_service.size(); ++service)
      for (int copy = 0; copy < copies; ++copy) {
        auto backend = std::make_shared<Backend>();
        backend->id = "s" + std::to_string(service) + "-" + std::to_string(copy);
        backend->status = EndpointStatus::up;
        if (copy == 0)
          backend->region = "far";
        table->by_service[service].push_back(backend);
      }
    table_ = table;
    request =
        std::make_unique<ProxiedRequest>(*this, table_, snapshot->routes[0], start, Duration(1000));
  }
  bool send_attempt(Requester&, std::size_t part, Backend& backend, TimePoint) override {
    attempts.push_back({part, &backend});
    return true;
  }
  void send_response(ProxiedRequest&, FinalResponse response, TimePoint) override {
    ++responses;
    final = std::move(response);
  }
  RetryBudget& retry_budget(const std::string& service) override {
    return budgets_.try_emplace(service, Duration(10000), 0.2).first->second;
  }
  double retry_reserve(TimePoint) override {
    return reserve;
  }
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int, TimePoint now,
                  const PickConstraints& constraints) override {
    if (max_connections_ == 0)
      return {nullptr, true};
    return load_balancer_.pick(backends, tried, max_connections_, now, constraints);
  }
  Delegation delegate(ProxiedRequest&, Duration, TimePoint) override {
    return {delegated_parts, "far"};
  }
  void handle_delegation_timeout(ProxiedRequest&, TimePoint) override {
    ++delegation_timeouts;
  }
  PickConstraints pick_constraints(const ProxiedRequest&, const std::string&, TimePoint) override {
    return constraints;
  }
  bool enqueue(ProxiedRequest&, TimePoint) override {
    ++enqueue_calls;
    return accepts_enqueue;
  }
  LatencyEstimate& latency_estimate(const Route&) override {
    return latency_estimate_;
  }
  double random_fraction() override {
    return 0.5;
  }

  static BackendResponse success_response(const std::string& seal, const std::string& body = "") {
    return {200, false, "OK", "", seal, body};
  }
  static BackendResponse failure_response(int status, bool is_not_run) {
    return {status, is_not_run, "Bad", "X: y\r\n", "q", "failure"};
  }
  void deliver_response(std::size_t part, BackendResponse outcome,
                        TimePoint now = start + 20ms) const {
    request->handle_response(part, std::move(outcome), Duration(20), now);
  }
  int status() const {
    return final.kind == ErrorCode::none ? final.status : status_line_of(final.kind).status;
  }
  void limit_connections(int max_connections) {  // to a backend; 0: all are full
    max_connections_ = max_connections;
  }
  void drain_service(std::size_t service) {
    for (const BackendPointer& backend : table_->by_service[service])
      backend->is_draining = true;
  }

  std::vector<SentAttempt> attempts;
  FinalResponse final;
  int responses = 0, delegation_timeouts = 0;
  std::vector<std::size_t> delegated_parts;
  double reserve = 10;
  PickConstraints constraints;
  bool accepts_enqueue = false;
  int enqueue_calls = 0;
  std::unique_ptr<ProxiedRequest> request;

 private:
  RoutingTableSnapshot table_;
  std::map<std::string, RetryBudget> budgets_;
  LoadBalancer load_balancer_{{"", ""}, 1};
  LatencyEstimate latency_estimate_;
  int max_connections_ = 1000;
};

inline const char single[] = R"("sort":"harmless","service":"s0")";
inline const char risky[] = R"("sort":"risky","service":"s0")";
inline const char gathered[] =
    R"("sort":"harmless","ask_all":["s0","s1","s2","s3"],"best_count":2,"fewest_parts":0.75)";

inline GatherResult frame(std::vector<GatherResult::CompletedPart> done,
                          std::vector<GatherResult::FailedPart> failed, std::string records) {
  GatherResult aided;
  aided.done = std::move(done);
  aided.failed = std::move(failed);
  aided.records = std::move(records);
  return aided;
}

inline std::string record(char letter) {
  return std::string(16, letter);
}

}  // namespace saddlewing::tests
