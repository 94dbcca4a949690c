#include "broker/failure_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace saddlewing {
namespace {

std::string milliseconds(TimePoint from, TimePoint to) {
  return std::to_string(elapsed(from, to).count());
}

std::string text_of(const AttemptRecord& attempt, TimePoint began) {
  std::string text = " [backend=" + attempt.backend->id + " service=" + attempt.backend->service +
                     " part=" + std::to_string(attempt.part) +
                     " at_ms=" + milliseconds(began, attempt.began);
  if (attempt.ended != TimePoint{})
    text += " took_ms=" + milliseconds(attempt.began, attempt.ended);
  text += " end=" + std::string(name_of(attempt.end));
  if (attempt.status)
    text += " status=" + std::to_string(attempt.status);
  return text + (attempt.may_have_run ? " may_have_run=yes]" : " may_have_run=no]");
}

// As a label of a metric.
std::string quoted(const std::string& text) {
  std::string escaped = "\"";
  for (const char letter : text) {
    if (letter == '"' || letter == '\\')
      escaped += '\\';
    escaped += letter == '\n' ? ' ' : letter;
  }
  return escaped + "\"";
}

}  // namespace

std::string FailedRequest::text() const {
  std::string line =
      "try_id=" + (try_id.empty() ? "-" : try_id) + " route=" + (route.empty() ? "-" : route) +
      " version=" + std::to_string(version.value) + " status=" + std::to_string(status) +
      " reason=" + quoted(reason) + " stop=" + std::string(name_of(stop)) +
      " took_ms=" + milliseconds(began, ended);
  if (deadline != TimePoint{})
    line += " deadline_left_ms=" + milliseconds(ended, deadline);
  if (parts)
    line += " parts=" + std::to_string(parts_done) + "/" + std::to_string(parts) +
            " retry_reserve=" + std::to_string(retry_reserve);
  if (!attempts.empty())
    line += " queued_ms=" + milliseconds(began, attempts.front().began);
  for (const AttemptRecord& attempt : attempts)
    line += text_of(attempt, began);
  return line;
}

bool FailureLog::may_log(TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - credited_at_).count();
  line_credit_ = std::min(max_burst, line_credit_ + seconds * lines_per_s);
  credited_at_ = now;
  if (line_credit_ < 1)
    return false;
  line_credit_ -= 1;
  return true;
}

void FailureLog::record(FailedRequest failed) {
  std::pair key(failed.reason, failed.route);
  if (!counts_.contains(key) && counts_.size() >= max_counters)
    key = {"other", ""};
  ++counts_[key];
  if (!may_log(failed.ended))
    ++dropped_lines_;
  else
    LOG(WARNING) << "request: failed " << failed.text();
  kept_.push_back(std::move(failed));
  if (kept_.size() > max_kept)
    kept_.pop_front();
}

std::string FailureLog::page() const {
  std::string page;
  for (const FailedRequest& failed : kept_)
    page += failed.text() + "\n";
  return page;
}

std::string FailureLog::metrics_page() const {
  constexpr const char* failed = "saddlewing_failed_requests_total";
  constexpr const char* dropped = "saddlewing_failure_lines_dropped_total";
  std::string page = std::string("# HELP ") + failed +
                     " Requests that failed, by reason and route.\n# TYPE " + failed + " counter\n";
  for (const auto& [key, count] : counts_)
    page += std::string(failed) + "{reason=" + quoted(key.first) + ",route=" + quoted(key.second) +
            "} " + std::to_string(count) + "\n";
  page += std::string("# HELP ") + dropped +
          " Failed requests without a log line; the last ones are kept.\n# TYPE " + dropped +
          " counter\n" + dropped + " " + std::to_string(dropped_lines_) + "\n";
  return page;
}

}  // namespace saddlewing
