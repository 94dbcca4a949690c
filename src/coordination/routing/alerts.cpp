#include "coordination/routing/alerts.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <regex>

namespace saddlewing {
namespace {

using Comparison = AlertRule::Comparison;

bool parse_span(const std::string& text, Duration& span) {
  static const std::regex form(R"((\d{1,9})(ms|s|m|h))");
  std::smatch found;
  if (!std::regex_match(text, found, form))
    return false;
  const std::string unit = found[2];
  const std::int64_t factor = unit == "ms" ? 1 : unit == "s" ? 1000 : unit == "m" ? 60000 : 3600000;
  span = Duration(std::strtoll(found[1].str().c_str(), nullptr, 10) * factor);
  return true;
}

// `metric > 5` or `rate(metric[1s]) > 5`.
std::string parse_expression(const std::string& text, AlertRule& rule) {
  static const std::regex form(
      R"(\s*(?:(rate)\(\s*(\w+)\s*\[1s\]\s*\)|(\w+))\s*(>=|<=|==|!=|>|<)\s*(-?\d+(?:\.\d+)?)\s*)");
  std::smatch found;
  if (!std::regex_match(text, found, form))
    return "is not one comparison of a metric with a number";
  rule.is_rate = found[1].matched;
  const std::string name = rule.is_rate ? found[2] : found[3];
  if (!find_metric(name, rule.metric))
    return "names an unknown metric " + name;
  const std::string sign = found[4];
  rule.comparison = sign == ">"    ? Comparison::above
                    : sign == ">=" ? Comparison::at_least
                    : sign == "<"  ? Comparison::below
                    : sign == "<=" ? Comparison::at_most
                    : sign == "==" ? Comparison::equal
                                   : Comparison::unequal;
  rule.limit = std::strtod(found[5].str().c_str(), nullptr);
  return {};
}

// What is wrong with one rule, beginning with the field; empty if nothing is.
std::string read_rule(const YAML::Node& node, AlertRule& rule) {
  if (!node.IsMap())
    return "is not a map";
  if (!node["alert"] || !node["alert"].IsScalar())
    return "alert is missing";
  rule.name = node["alert"].as<std::string>();
  if (!node["expr"] || !node["expr"].IsScalar())
    return "expr is missing";
  if (const std::string wrong = parse_expression(node["expr"].as<std::string>(), rule);
      !wrong.empty())
    return "expr " + wrong;
  if (node["for"] &&
      (!node["for"].IsScalar() || !parse_span(node["for"].as<std::string>(), rule.lease)))
    return "for is not a span such as 5s";
  if (const YAML::Node labels = node["labels"];
      labels && labels.IsMap() && labels["refuse_from_rank"]) {
    const auto rank = labels["refuse_from_rank"].as<std::string>();
    if (rank.empty() || rank.size() > 4 ||
        rank.find_first_not_of("0123456789") != std::string::npos)
      return "labels.refuse_from_rank is not a rank";
    rule.refuse_from = std::atoi(rank.c_str());
  }
  return {};
}

bool holds(const AlertRule& rule, double value) {
  switch (rule.comparison) {
    case Comparison::above:
      return value > rule.limit;
    case Comparison::at_least:
      return value >= rule.limit;
    case Comparison::below:
      return value < rule.limit;
    case Comparison::at_most:
      return value <= rule.limit;
    case Comparison::equal:
      return value == rule.limit;
    case Comparison::unequal:
      break;
  }
  return value != rule.limit;
}

}  // namespace

Error read_alert_rules(const std::string& text, std::vector<AlertRule>& rules) {
  std::vector<AlertRule> read;
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsMap() || !root["groups"] || !root["groups"].IsSequence())
      return make_error(ErrorCode::invalid, "groups is missing or not a list");
    for (const YAML::Node& group : root["groups"]) {
      if (!group.IsMap() || !group["rules"] || !group["rules"].IsSequence())
        return make_error(ErrorCode::invalid, "rules of a group is missing or not a list");
      for (const YAML::Node& node : group["rules"]) {
        AlertRule rule;
        if (const std::string wrong = read_rule(node, rule); !wrong.empty())
          return make_error(ErrorCode::invalid,
                            "rule " +
                                (rule.name.empty() ? std::to_string(read.size()) : rule.name) +
                                ": " + wrong);
        read.push_back(std::move(rule));
      }
    }
  } catch (const YAML::Exception& thrown) {
    return make_error(ErrorCode::unreadable,
                      std::string("alert rules are not YAML: ") + thrown.what());
  }
  rules = std::move(read);
  return {};
}

void Alerts::replace(std::vector<AlertRule> rules) {
  states_.clear();
  for (AlertRule& rule : rules)
    states_.emplace_back().rule = std::move(rule);
  refuse_from_ = 1 << 30;
}

std::vector<std::string> Alerts::evaluate(const std::function<double(Metric)>& value,
                                          TimePoint now) {
  std::vector<std::string> turned;
  refuse_from_ = 1 << 30;
  for (State& state : states_) {
    double seen = value(state.rule.metric);
    if (state.rule.is_rate) {
      const double passed = std::chrono::duration<double>(now - state.seen_at).count();
      const double rate =
          state.seen_at == TimePoint{} || passed <= 0 ? 0 : (seen - state.seen) / passed;
      state.seen = seen;
      state.seen_at = now;
      seen = rate;
    }
    const bool is_true = holds(state.rule, seen);
    if (is_true && !state.is_pending)
      state.since = now;
    state.is_pending = is_true;
    const bool is_firing = is_true && now - state.since >= state.rule.lease;
    if (is_firing != state.is_firing)
      turned.push_back(state.rule.name + (is_firing ? " fires" : " ceased"));
    state.is_firing = is_firing;
    if (is_firing && state.rule.refuse_from >= 0)
      refuse_from_ = std::min(refuse_from_, state.rule.refuse_from);
  }
  return turned;
}

}  // namespace saddlewing
