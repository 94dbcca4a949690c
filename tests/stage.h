#pragma once
// Where errands are tried: notes what they ask and answer, without sockets or clock.
#include <criterion/criterion.h>

#include <map>

#include "coordination/errand.h"

namespace saddlewing::tests {

inline constexpr Moment start = Moment{} + 1000s;

// Stands where an errand acts: notes what it asks, and what it answers.
class Stage final : public Errand::Ground {
 public:
  struct Asked {
    std::size_t part;
    Backend* backend;
  };
  explicit Stage(const std::string& rule, int copies = 2, int tries = 2) {
    const std::string body =
        R"({"version":1,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"s3"}],"routes":[{"host":"h",)"
        R"("path_start":"/a/","give_up_ms":1000,"target_ms":200,"tries":)" +
        std::to_string(tries) + "," + rule + "}]}";
    ConfigurationSnapshot snapshot;
    const Fault found = read_configuration(body, snapshot);
    cr_assert(!found, "%s", found.text().c_str());
    auto table = std::make_shared<Table>();
    table->configuration = snapshot;
    table->by_service.resize(snapshot->services.size());
    for (std::size_t service = 0; service < table->by_service.size(); ++service)
      for (int copy = 0; copy < copies; ++copy) {
        auto backend = std::make_shared<Backend>();
        backend->id = "s" + std::to_string(service) + "-" + std::to_string(copy);
        backend->status = Status::up;
        if (copy == 0)
          backend->region = "far";
        table->by_service[service].push_back(backend);
      }
    table_ = table;
    errand = std::make_unique<Errand>(*this, table_, snapshot->rules[0], start, Span(1000));
  }
  bool ask(Asker&, std::size_t part, Backend& backend, Moment) override {
    asked.push_back({part, &backend});
    return true;
  }
  void answer(Errand&, FinalAnswer answer, Moment) override {
    ++answers;
    final = std::move(answer);
  }
  Budget& budget(const std::string& service) override {
    return budgets_.try_emplace(service, Span(10000), 0.2).first->second;
  }
  double reserve(Moment) override {
    return extra_reserve;
  }
  PickResult pick(const std::vector<BackendPointer>& backends,
                  const std::vector<const Backend*>& tried, int, Moment now,
                  const PickWish& wish) override {
    return picker_.pick(backends, tried, 1000, now, wish);
  }
  AidTaken call_aid(Errand&, Span, Moment) override {
    return {aided_parts, "far"};
  }
  void miss_aid(Errand&, Moment) override {
    ++missed_aids;
  }
  PickWish wish(const Errand&, const std::string&, Moment) override {
    return own_wish;
  }
  bool wait_turn(Errand&, Moment) override {
    ++turns_wanted;
    return has_turns;
  }
  Pace& pace(const Rule&) override {
    return pace_;
  }
  double draw() override {
    return 0.5;
  }

  static BackendOutcome good(const std::string& seal, const std::string& body = "") {
    return {200, false, "OK", "", seal, body};
  }
  static BackendOutcome failed(int status, bool is_not_run) {
    return {status, is_not_run, "Bad", "X: y\r\n", "q", "failure"};
  }
  void take(std::size_t part, BackendOutcome outcome, Moment now = start + 20ms) {
    errand->take_outcome(part, std::move(outcome), Span(20), now);
  }
  int status() const {
    return final.kind == Kind::none ? final.status : status_of(final.kind).status;
  }
  void cancel_service(std::size_t service) {
    for (const BackendPointer& backend : table_->by_service[service])
      backend->is_cancelled = true;
  }

  std::vector<Asked> asked;
  FinalAnswer final;
  int answers = 0, missed_aids = 0;
  std::vector<std::size_t> aided_parts;
  double extra_reserve = 10;
  PickWish own_wish;
  bool has_turns = false;
  int turns_wanted = 0;
  std::unique_ptr<Errand> errand;

 private:
  TableSnapshot table_;
  std::map<std::string, Budget> budgets_;
  Picker picker_{{"", ""}, 1};
  Pace pace_;
};

inline const char single[] = R"("sort":"harmless","service":"s0")";
inline const char risky[] = R"("sort":"risky","service":"s0")";
inline const char gathered[] =
    R"("sort":"harmless","ask_all":["s0","s1","s2","s3"],"best_count":2,"fewest_parts":0.75)";

inline Aided frame(std::vector<Aided::Done> done, std::vector<Aided::Failed> failed,
                   std::string records) {
  Aided aided;
  aided.done = std::move(done);
  aided.failed = std::move(failed);
  aided.records = std::move(records);
  return aided;
}

inline std::string record(char letter) {
  return std::string(16, letter);
}

}  // namespace saddlewing::tests
