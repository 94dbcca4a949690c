#pragma once
// Whoever has backends asked: an errand for a client, or the aid given to another broker.
#include <string>

#include "coordination/routing/load_balancer.h"
#include "state/error.h"

namespace saddlewing {

// What a backend said, as far as an asker needs it.
struct BackendResponse {
  int status = 0;
  bool is_not_run = false;
  std::string reason, fields, seal, body;
};

// How long parts take, for the moment at which a further asking pays.
struct LatencyEstimate {
  double mean_ms = 0, deviation_ms = 0;
  void record(double milliseconds) {
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

class Requester {
 public:
  virtual ~Requester() = default;
  virtual void handle_response(std::size_t index, BackendResponse response, Duration took,
                               TimePoint now) = 0;
  virtual void handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                              TimePoint now) = 0;
  virtual TimePoint deadline() const = 0;
  virtual bool is_gathering() const = 0;  // then reason and fields are of no use to it
  virtual void on_due(TimePoint now) = 0;
  virtual bool is_open() const = 0;
  virtual TimePoint next_due() const = 0;
};

// Where an asker acts.
class AttemptSender {
 public:
  virtual ~AttemptSender() = default;
  virtual bool send_attempt(Requester& requester, std::size_t part, Backend& backend,
                            TimePoint now) = 0;  // false: not even begun
  virtual PickResult pick(
      const std::vector<BackendPointer>& backends, const std::vector<const Backend*>& tried,
      int max_connections, TimePoint now,
      const PickConstraints& wish) = 0;  // max_connections: of all callers together
};

}  // namespace saddlewing
