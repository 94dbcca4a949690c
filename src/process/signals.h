#pragma once
// Signals and changes of the startup file, for the main thread.
#include <sys/stat.h>

#include <glog/logging.h>
#include <poll.h>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "state/node_settings.h"
#include "transport/bounded_queue.h"

namespace saddlewing {

class Signals {
 public:
  // Before the file is read first, so that a change or a signal from then on is seen.
  explicit Signals(const std::string& path) : last_change_(change_of(path)) {
    waker_ = &own_;
    std::signal(SIGPIPE, SIG_IGN);
    struct sigaction action {};
    action.sa_handler = [](int number) {
      const int before = errno;  // of whatever thread this came upon
      (number == SIGHUP ? should_reload_ : should_stop_) = true;
      if (const Waker* waker = waker_)
        waker->wake();
      errno = before;
    };
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
      sigaction(number, &action, nullptr);
  }
  ~Signals() {
    waker_ = nullptr;
  }

  void wait(int milliseconds) {
    pollfd waiting{own_.descriptor(), POLLIN, 0};
    if (::poll(&waiting, 1, milliseconds) > 0)
      own_.clear();
  }
  static bool is_ending() {
    return should_stop_;
  }
  // The first settings that can be used. A wrong file is named once and waited for; nothing is
  // begun by it. None: told to end.
  std::optional<NodeSettings> await_node_settings(const std::string& path, bool is_registry) {
    bool was_named = false;
    while (!should_stop_) {
      NodeSettings settings;
      const Error found = read_node_settings(path, is_registry, settings);
      if (!found)
        return settings;
      if (!std::exchange(was_named, true))
        LOG(ERROR) << "startup: refused, waits for a better one: " << found.text();
      wait(1000);
    }
    return std::nullopt;
  }
  // Until SIGTERM; a startup read again goes to `take`, a wrong one is logged and the old one
  // stays.
  void serve(const std::string& path, bool is_registry,
             const std::function<void(const NodeSettings&)>& take) {
    while (!should_stop_) {
      wait(1000);
      if (!should_reload(path))
        continue;
      NodeSettings changed;
      if (Error found = read_node_settings(path, is_registry, changed)) {
        LOG(ERROR) << "startup: kept as it was: " << found.text();
        continue;
      }
      LOG(INFO) << "startup: read again";
      take(changed);
    }
  }

 private:
  // Differs when the file changed; 0: there is none.
  static long long change_of(const std::string& path) {
    struct stat facts {};
    return ::stat(path.c_str(), &facts) == 0
               ? facts.st_mtim.tv_sec * 1000000000ll + facts.st_mtim.tv_nsec + facts.st_size
               : 0;
  }
  // True once after SIGHUP or after the file changed without one.
  bool should_reload(const std::string& path) {
    if (const long long changed = change_of(path)) {
      if (changed != last_change_)
        should_reload_ =
            true;  // a file that was missing may have been read meanwhile, in whichever state
      last_change_ = changed;
    }
    return should_reload_.exchange(false);
  }

  inline static std::atomic<bool> should_stop_ = false, should_reload_ = false;
  inline static std::atomic<const Waker*> waker_ = nullptr;  // any thread may take the signal
  Waker own_;
  long long last_change_;
};

}  // namespace saddlewing
