#pragma once
// Whoever has backends asked: an errand for a client, or the aid given to another broker.
#include <string>

#include "coordination/backend.h"
#include "state/error.h"

namespace saddlewing {

// What a backend said, as far as an asker needs it.
struct BackendOutcome {
  int status = 0;
  bool is_not_run = false;
  std::string reason, fields, seal, body;
};

// How long parts take, for the moment at which a further asking pays.
struct Pace {
  double mean_ms = 0, deviation_ms = 0;
  void see(double milliseconds) {
    if (mean_ms == 0) {
      mean_ms = milliseconds;
      deviation_ms = milliseconds / 2;
      return;
    }
    const double off = milliseconds - mean_ms;
    mean_ms += off * 0.05;
    deviation_ms += ((off < 0 ? -off : off) - deviation_ms) * 0.05;
  }
};

class Asker {
 public:
  virtual ~Asker() = default;
  virtual void take_outcome(std::size_t part, BackendOutcome outcome, Span took, Moment now) = 0;
  virtual void take_breakdown(std::size_t part, Kind kind, bool may_have_run, Moment now) = 0;
  virtual Moment deadline() const = 0;
  virtual bool is_gathering() const = 0;  // then reason and fields are of no use to it
  virtual void on_due(Moment now) = 0;
  virtual bool is_open() const = 0;
  virtual Moment next_due() const = 0;
};

// Where an asker acts.
class AskGround {
 public:
  virtual ~AskGround() = default;
  virtual bool ask(Asker& asker, std::size_t part, Backend& backend,
                   Moment now) = 0;  // false: not even begun
  virtual PickResult pick(const std::vector<BackendPointer>& backends,
                          const std::vector<const Backend*>& tried, int most_connections,
                          Moment now,
                          const PickWish& wish) = 0;  // most_connections: of all callers together
};

}  // namespace saddlewing
