#pragma once
#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <mutex>
#include <regex>
#include <string>
#include <vector>

namespace saddlewing::tests {

// The askings of a broker, as it logs them.
class AttemptLog final : public google::LogSink {
 public:
  struct Attempt {
    std::string try_id, backend,
        before;  // before: whose asking was the last one over this connection
    int port = 0;
    bool is_reused = false, has_broken_down = false, has_sent = true;
    std::string text() const {
      return backend + " from " + std::to_string(port) +
             (is_reused ? " behind " + before : " new") +
             (has_broken_down ? has_sent ? " broke down" : " not sent" : "");
    }
  };
  AttemptLog() {
    google::InitGoogleLogging("saddlewing_tests");
    for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity)
      google::SetLogDestination(severity, "");
    FLAGS_stderrthreshold = google::GLOG_WARNING;
    FLAGS_v = 1;
    google::AddLogSink(this);
  }
  ~AttemptLog() override {
    google::RemoveLogSink(this);
  }
  void send(google::LogSeverity, const char*, const char*, int, const struct ::tm*,
            const char* text, std::size_t size) override {
    static const std::regex asked(
        "traffic: (\\S+) asked of (\\S+) from port (\\d+) over connection (\\d+), (new|reused)");
    static const std::regex broke(
        "traffic: (\\S+) broke down over connection (\\d+), (not sent|sent): .*");
    const std::string line(text, size);
    std::smatch parts;
    const std::lock_guard lock(mutex_);
    if (std::regex_match(line, parts, asked)) {
      Attempt attempting{parts[1], parts[2], {}, std::stoi(parts[3]), parts[5] == "reused",
                         false,    true};
      std::size_t& last = last_over_.try_emplace(parts[4], SIZE_MAX).first->second;
      if (last != SIZE_MAX)
        attempting.before = attempts_[last].try_id;
      last = attempts_.size();
      attempts_.push_back(attempting);
    } else if (std::regex_match(line, parts, broke)) {
      Attempt& attempting = attempts_[last_over_.at(parts[2])];
      attempting.has_broken_down = true;
      attempting.has_sent = parts[3] == "sent";
    }
  }
  std::vector<Attempt> of(const std::string& try_id) const {
    const std::lock_guard lock(mutex_);
    std::vector<Attempt> found;
    std::ranges::copy_if(attempts_, std::back_inserter(found),
                         [&](const Attempt& attempting) { return attempting.try_id == try_id; });
    return found;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<Attempt> attempts_;
  std::map<std::string, std::size_t> last_over_;  // by connection
};

}  // namespace saddlewing::tests
