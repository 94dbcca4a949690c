// The registry's share in database failover: which databases its decisions reach.
#include "registry/failover_service.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "registry/control_context_fakes.h"

using namespace saddlewing;

namespace {

const TimePoint start = TimePoint{} + 1000s;

class FakeFailoverEnvironment final : public FailoverEnvironment {
 public:
  FakeFailoverEnvironment() {
    const std::string body =
        R"({"version":1,"services":[{"name":"db","sync":1}],"routes":[)"
        R"({"host":"books","path_start":"/","sort":"leader","give_up_ms":1000,"service":"db"}]})";
    const Error found = read_configuration(body, configuration_);
    cr_assert(!found, "%s", found.text().c_str());
  }
  const ConfigurationSnapshot& configuration() const override {
    return configuration_;
  }
  void notify_poolers(TimePoint) override {
  }
  bool dispatch(DispatchedCommand command) override {
    commands.push_back(std::move(command));
    return true;
  }

  std::vector<DispatchedCommand> commands;

 private:
  ConfigurationSnapshot configuration_;
};

Endpoint database(const std::string& id, EndpointPhase phase) {
  Endpoint entry;
  entry.id = id;
  entry.address = "10.0.1." + id + ":8080";
  entry.service = "db";
  entry.phase = phase;
  return entry;
}

}  // namespace

// Guards against acknowledged commits that are lost: a replica that deregistered and serves on was
// not asked what it has.
Test(failover_service, an_election_asks_also_a_database_that_deregistered) {
  NodeSettings settings;
  settings.is_signing_up = true;
  FakeControlContext context;
  FakeFailoverEnvironment environment;
  EndpointTable databases;
  databases.merge(database("1", EndpointPhase::ready), start);
  databases.merge(database("2", EndpointPhase::gone), start);
  databases.merge(database("3", EndpointPhase::ready), start);
  FailoverService service(settings, context, databases, environment);
  LeadershipTable table;
  table.revision = 2;
  table.put("db").id = "1";
  table.put("db").phase = DatabaseLeadership::Phase::closing;
  table.put("db").revision = 2;
  context.commit_document(leadership_document, encode_leaderships(table));
  context.lead(Term{1}, start + 60s);
  for (TimePoint now = start; now < start + 10s; now += 100ms)
    service.tick(now);
  std::set<std::string> asked;
  for (const DispatchedCommand& command : environment.commands)
    if (command.text == "STATUS")
      asked.insert(command.id);
  cr_expect(asked == std::set<std::string>({"1", "2", "3"}));
}
