#include <criterion/criterion.h>

#include <map>

#include "coordination/routing/alerts.h"

using namespace saddlewing;

namespace {

constexpr TimePoint start = TimePoint{} + 1000s;

std::string file(const std::string& rule) {
  return "groups:\n- name: g\n  rules:\n  - " + rule;
}

}  // namespace

Test(alerts, a_rule_fires_when_it_held_long_enough_and_ceases) {
  std::vector<AlertRule> rules;
  cr_assert(!read_alert_rules(
      file("{alert: Busy, expr: saddlewing_errands >= 10, for: 2s, labels: {refuse_from_rank: 2}}"),
      rules));
  Alerts alerts;
  alerts.replace(rules);
  double proxied_requests = 10;
  const auto value = [&](Metric metric) {
    return metric == Metric::proxied_requests ? proxied_requests : 0;
  };
  cr_expect(alerts.evaluate(value, start).empty());
  cr_expect(alerts.evaluate(value, start + 1s).empty() && alerts.refuse_from() > 1000);
  const std::vector<std::string> fires{"Busy fires"};
  const std::vector<std::string> ceased{"Busy ceased"};
  cr_expect(alerts.evaluate(value, start + 2s) == fires);
  cr_expect(alerts.refuse_from() == 2);
  proxied_requests = 9;
  cr_expect(alerts.evaluate(value, start + 3s) == ceased);
  cr_expect(alerts.refuse_from() > 1000);
}

Test(alerts, a_rate_is_the_growth_in_a_second) {
  std::vector<AlertRule> rules;
  cr_assert(!read_alert_rules(
      file("{alert: Failing, expr: 'rate(saddlewing_own_5xx_total[1s]) > 5'}"), rules));
  Alerts alerts;
  alerts.replace(rules);
  double failed = 1000;
  const auto value = [&](Metric) {
    return failed;
  };
  cr_expect(alerts.evaluate(value, start).empty(), "one look gives no rate");
  failed += 10;
  cr_expect(alerts.evaluate(value, start + 2s).empty());
  failed += 6;
  cr_expect(alerts.evaluate(value, start + 3s).size() == 1);
}

Test(alerts, what_is_wrong_is_named_and_nothing_is_taken) {
  const std::map<std::string, std::string> rows = {
      {"groups: 5", "groups is missing or not a list"},
      {"groups: [{name: g}]", "rules of a group is missing or not a list"},
      {file("{expr: saddlewing_errands > 1}"), "rule 0: alert is missing"},
      {file("{alert: A}"), "rule A: expr is missing"},
      {file("{alert: A, expr: up > 1}"), "rule A: expr names an unknown metric up"},
      {file("{alert: A, expr: saddlewing_errands + 1 > 1}"),
       "rule A: expr is not one comparison of a metric with a number"},
      {file("{alert: A, expr: saddlewing_errands > 1, for: soon}"),
       "rule A: for is not a span such as 5s"},
      {file("{alert: A, expr: saddlewing_errands > 1, labels: {refuse_from_rank: x}}"),
       "rule A: labels.refuse_from_rank is not a rank"},
  };
  for (const auto& [text, complaint] : rows) {
    std::vector<AlertRule> rules(3);
    cr_expect(read_alert_rules(text, rules).step == complaint, "%s",
              read_alert_rules(text, rules).step.c_str());
    cr_expect(rules.size() == 3);
  }
  std::vector<AlertRule> rules;
  cr_expect(read_alert_rules("a: [", rules).code == ErrorCode::unreadable);
}
