#pragma once
// Where errands are tried: notes what they ask and answer, without sockets or clock.
#include <criterion/criterion.h>

#include <map>

#include "coordination/routing/proxied_request.h"

namespace saddlewing::tests {

inline constexpr TimePoint start = TimePoint{} + 1000s;

// Stands where an errand acts: notes what it asks, and what it answers.
class RequestFixture final : public ProxiedRequest::Ground {
 public:
  struct Asked {
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
    auto table = std::make_shared<Table>();
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
  bool ask(Requester&, std::size_t part, Backend& backend, TimePoint) override {
    asked.push_back({part, &backend});
    return true;
  }
  void answer(ProxiedRequest&, FinalAnswer answer, TimePoint) override {
    ++answers;
    final = std::move(answer);
  }
  RetryBudget& budget(const std::string& service) override {
    return budgets_.try_emplace(service, Duration(10000), 0.2).first->second;
  }
  double reserve(TimePoint) override {
    return extra_reserve;
  }
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int, TimePoint now,
                  const PickConstraints& wish) override {
    return picker_.pick(backends, tried, 1000, now, wish);
  }
  Delegation delegate(ProxiedRequest&, Duration, TimePoint) override {
    return {delegated_parts, "far"};
  }
  void delegation_is_late(ProxiedRequest&, TimePoint) override {
    ++missed_aids;
  }
  PickConstraints wish(const ProxiedRequest&, const std::string&, TimePoint) override {
    return own_wish;
  }
  bool wait_turn(ProxiedRequest&, TimePoint) override {
    ++turns_wanted;
    return has_turns;
  }
  LatencyEstimate& pace(const Route&) override {
    return pace_;
  }
  double draw() override {
    return 0.5;
  }

  static BackendResponse good(const std::string& seal, const std::string& body = "") {
    return {200, false, "OK", "", seal, body};
  }
  static BackendResponse failed(int status, bool is_not_run) {
    return {status, is_not_run, "Bad", "X: y\r\n", "q", "failure"};
  }
  void take(std::size_t part, BackendResponse outcome, TimePoint now = start + 20ms) {
    request->handle_response(part, std::move(outcome), Duration(20), now);
  }
  int status() const {
    return final.kind == ErrorCode::none ? final.status : status_of(final.kind).status;
  }
  void cancel_service(std::size_t service) {
    for (const BackendPointer& backend : table_->by_service[service])
      backend->is_cancelled = true;
  }

  std::vector<Asked> asked;
  FinalAnswer final;
  int answers = 0, missed_aids = 0;
  std::vector<std::size_t> delegated_parts;
  double extra_reserve = 10;
  PickConstraints own_wish;
  bool has_turns = false;
  int turns_wanted = 0;
  std::unique_ptr<ProxiedRequest> request;

 private:
  TableSnapshot table_;
  std::map<std::string, RetryBudget> budgets_;
  LoadBalancer picker_{{"", ""}, 1};
  LatencyEstimate pace_;
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
