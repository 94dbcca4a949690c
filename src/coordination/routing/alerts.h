#pragma once
// Alert rules in the Prometheus manner, as inputs to control. Of the language: one comparison of a
// metric, or of its rate, with a number, and `for`.
#include <functional>
#include <string>
#include <vector>

#include "state/error.h"
#include "state/metrics.h"
#include "state/types.h"

namespace saddlewing {

struct AlertRule {
  std::string name;
  Metric metric{};
  bool is_rate = false;  // the metric's growth in a second
  enum class Comparison {
    above,
    at_least,
    below,
    at_most,
    equal,
    unequal
  } comparison{};
  double limit = 0;
  Duration lease{0};  // how long it must hold before it fires
  int refuse_from =
      -1;  // while firing, requests of this rank and below it are refused; -1: only told in the log
};

// The fault's step names the rule and the field.
Error read_alert_rules(const std::string& text, std::vector<AlertRule>& rules);

class Alerts {
 public:
  void replace(std::vector<AlertRule> rules);
  bool is_empty() const {
    return states_.empty();
  }
  // Once a second. Gives the names of the rules that began or ceased to fire.
  std::vector<std::string> evaluate(const std::function<double(Metric)>& value, TimePoint now);
  // Requests of this rank or a greater number are refused now.
  int refuse_from() const {
    return refuse_from_;
  }

 private:
  struct State {
    AlertRule rule;
    bool is_pending = false, is_firing = false;
    TimePoint since{}, seen_at{};
    double seen = 0;  // the metric's value when last seen, for the rate
  };
  std::vector<State> states_;
  int refuse_from_ = 1 << 30;
};

}  // namespace saddlewing
