#pragma once
// Tests of invariants: a violation ends the test, except where a test plants one and records it.
#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "state/invariants.h"

namespace saddlewing::tests {

// A violation that nobody expects ends the process, and with it the test.
inline void end_at_violation(const InvariantRow& row, const std::string& evidence) {
  std::fprintf(stderr, "invariant violated: %s: %s\n", std::string(row.name).c_str(),
               evidence.c_str());
  std::abort();
}

// While it lives, violations are recorded instead.
class ViolationRecorder {
 public:
  ViolationRecorder() {
    set_violation_handler([this](const InvariantRow& row, const std::string&) {
      violated_.push_back(row.invariant);
    });
  }
  ~ViolationRecorder() {
    set_violation_handler(end_at_violation);
  }
  // Exactly this one was violated, so many times.
  bool has_only(Invariant invariant, std::size_t times = 1) const {
    return violated_ == std::vector<Invariant>(times, invariant);
  }

 private:
  std::vector<Invariant> violated_;
};

}  // namespace saddlewing::tests
