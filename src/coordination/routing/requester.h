#pragma once
// The interface between what has backends asked and what sends the attempts. Requesters are a
// client's request (proxied_request.h) and a gather for another broker (delegated_gather.h); the
// sender is the broker's event loop, or a fixture in tests.
//
// Requesters are pure: they get outcomes and the time passed in, and call the sender back. All of
// it belongs to one event loop and isn't thread-safe.
#include <cstddef>
#include <string>
#include <vector>

#include "coordination/routing/load_balancer.h"
#include "state/error.h"

namespace saddlewing {

// A backend's response, as far as a requester needs it.
struct BackendResponse {
  int status = 0;           // HTTP status
  bool is_not_run = false;  // the backend vouches that the request didn't run
  std::string reason;       // of the status line; unused while gathering
  std::string fields;       // header fields to pass on, each with its line end; unused likewise
  std::string seal;         // the response's Answer-Seal, passed on untouched
  std::string body;
};

// Whether a response with this HTTP status tells the client that the request has not run.
constexpr bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Moving averages of how long the attempts of a route take, for the moment to send a hedge.
struct LatencyEstimate {
  double mean_ms = 0;       // 0: no response yet
  double deviation_ms = 0;  // mean absolute deviation

  // Reports a response time in milliseconds.
  void record(double milliseconds) {
    if (mean_ms == 0) {
      mean_ms = milliseconds;
      deviation_ms = milliseconds / 2;
      return;
    }
    const double difference = milliseconds - mean_ms;
    mean_ms += difference * gain;
    deviation_ms += ((difference < 0 ? -difference : difference) - deviation_ms) * gain;
  }

 private:
  // Weight of the new response: about the last twenty count.
  static constexpr double gain = 0.05;
};

// Has backends asked, one or more attempts for each of its parts. A part is the whole request, or
// one shard's share of a gathered one.
class Requester {
 public:
  virtual ~Requester() = default;

  // The response to an attempt for part `index`. `took`: from the attempt's sending, in ms.
  virtual void handle_response(std::size_t index, BackendResponse response, Duration took,
                               TimePoint now) = 0;

  // An attempt for part `index` ended without a response. `kind`: why. `may_have_run`: whether the
  // request may have reached the backend.
  virtual void handle_failure(std::size_t index, ErrorCode kind, bool may_have_run,
                              TimePoint now) = 0;

  // When it ends at the latest, with or without a result.
  virtual TimePoint deadline() const = 0;

  // Whether responses are merged; then their reason and fields are of no use to it.
  virtual bool is_gathering() const = 0;

  // To be called at next_due(), and harmless at other times.
  virtual void on_due(TimePoint now) = 0;

  // Closes it without a result: nobody waits for one any more.
  virtual void abandon() = 0;

  // Whether its attempts may be broken off at work and sent again: nothing unsafe to repeat.
  virtual bool is_repeatable() const = 0;

  // False once its result is out or it was cancelled; later outcomes are ignored.
  virtual bool is_open() const = 0;

  // When it next wants on_due() called; changes with each call of a handler.
  virtual TimePoint next_due() const = 0;
};

// Sends the attempts of requesters.
class AttemptSender {
 public:
  virtual ~AttemptSender() = default;

  // Sends an attempt for `part` of `requester` to `backend`. True: its outcome comes by
  // handle_response or handle_failure. False: the attempt was not even begun, and nothing more is
  // heard of it.
  virtual bool send_attempt(Requester& requester, std::size_t part, Backend& backend,
                            TimePoint now) = 0;

  // Picks among `backends`, without those in `tried`; see LoadBalancer::pick. `max_connections`:
  // allowed to one backend, of all brokers together; the sender knows its own part of them.
  virtual PickResult pick(const std::vector<BackendPointer>& backends,
                          const std::vector<const Backend*>& tried, int max_connections,
                          TimePoint now, const PickConstraints& constraints) = 0;
};

}  // namespace saddlewing
