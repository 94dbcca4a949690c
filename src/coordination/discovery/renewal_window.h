#pragma once
// Counts which leases were renewed of late, for self-preservation.
//
// Threading: not synchronized; one owner.
// Source: Eureka's renewals in the last minute, here over two renewal periods; see
// docs/discovery.md.
#include <set>
#include <string>

#include "state/types.h"

namespace saddlewing {

// Invariant: a renewal is remembered for at least one period and at most two.
class RenewalWindow {
 public:
  // `period`: the interval at which each backend is expected to renew its lease.
  explicit RenewalWindow(Duration period) : period_(period) {
  }

  void record(const std::string& id) {
    current_.insert(id);
  }

  // Begins the next period once the running one is over.
  void advance(TimePoint now);

  // Whether the backend renewed its lease in the running period or in the one before.
  bool contains(const std::string& id) const {
    return current_.contains(id) || previous_.contains(id);
  }

 private:
  Duration period_;
  TimePoint period_started_{};
  std::set<std::string> current_;   // backend ids
  std::set<std::string> previous_;  // backend ids
};

}  // namespace saddlewing
