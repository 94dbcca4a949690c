// A settings file that changes to something wrong, torn or missing, many times over.
#include <criterion/criterion.h>
#include <glog/logging.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include "process/signals.h"

using namespace saddlewing;

namespace {

class KeptLines final : public google::LogSink {
 public:
  KeptLines() {
    google::AddLogSink(this);
  }
  ~KeptLines() override {
    google::RemoveLogSink(this);
  }
  void send(google::LogSeverity, const char*, const char*, int, const struct ::tm*,
            const char* text, size_t size) override {
    const std::string line(text, size);
    refused +=
        line.find("refused, waits for a better one: time_bounds.catch_up_s") != std::string::npos;
    if (line.find("kept as it was") == std::string::npos)
      return;
    ++lines;
    if (line.find("time_bounds.grace_s") != std::string::npos)
      ++fields;
  }
  std::atomic<int> lines = 0, fields = 0, refused = 0;
};

// Turns until it is so, or five seconds are over.
template <class Condition>
bool await(const Condition& is_so) {
  for (const TimePoint until = Clock::now() + 5s; Clock::now() < until; std::this_thread::yield())
    if (is_so())
      return true;
  return false;
}

const std::string good =
    R"({"node_name":"n","ip_address":"10.0.0.1","zone":"z","first_contacts":["10.0.0.2:8"],"spare_ports":[7000,7010],
    "listens_on":{"front":"10.0.0.1:80","ready_check":"10.0.0.1:81"})";
std::string own_path() {
  return "/tmp/saddlewing-reload-" + std::to_string(::getpid()) + ".json";
}

// Serves until a change to nine seconds was taken, or for as long as it may take.
bool is_change_taken(Signals& signals, const std::string& path) {
  std::atomic<int> taken = 0;
  std::thread driver([&] {
    await([&] { return taken > 0; });
    std::raise(SIGTERM);
  });
  signals.serve(path, false, [&](const NodeSettings& changed) { taken += changed.grace == 9s; });
  driver.join();
  std::remove(path.c_str());
  return taken == 1;
}

// Whether a change is taken that came after the signals were set up and before anybody serves.
bool is_early_change_taken(bool is_signalled) {
  const std::string path = own_path();
  std::ofstream(path) << good + "}";
  Signals signals(path);
  std::ofstream(path) << good + R"(,"time_bounds":{"grace_s":9}})";
  if (is_signalled)
    std::raise(SIGHUP);
  return is_change_taken(signals, path);
}

}  // namespace

Test(reload, a_signal_before_serving_begins_is_not_lost) {
  cr_expect(is_early_change_taken(true));
}
Test(reload, a_changed_file_before_serving_begins_is_not_lost) {
  cr_expect(is_early_change_taken(false));
}

// It is missing at first, comes, is read, and changes before anybody serves.
Test(reload, a_change_of_a_file_that_was_missing_at_first_is_not_lost) {
  const std::string path = own_path();
  Signals signals(path);
  std::ofstream(path) << good + "}";
  const std::optional<NodeSettings> settings = signals.await_node_settings(path, false);
  cr_assert(settings && settings->grace != 9s);
  std::ofstream(path) << good + R"(,"time_bounds":{"grace_s":9}})";
  cr_expect(is_change_taken(signals, path));
}

Test(reload, a_wrong_file_keeps_the_old_settings_and_says_the_field) {
  const std::string path = own_path();
  std::ofstream(path) << good + "}";
  KeptLines kept;
  std::atomic<int> taken = 0;
  Signals signals(path);
  std::thread driver([&] {
    for (int round = 0; round < 5; ++round) {
      const int fields = kept.fields;
      std::ofstream(path) << good + R"(,"time_bounds":{"grace_s":"6"}})";
      std::raise(SIGHUP);
      cr_expect(await([&] { return kept.fields > fields; }), "the field is named");
      const auto expect_kept = [&](int before) {
        std::raise(SIGHUP);
        cr_expect(await([&] { return kept.lines > before; }));
      };
      int before = kept.lines;
      std::ofstream(path) << good;  // torn
      expect_kept(before);
      before = kept.lines;
      std::remove(path.c_str());
      expect_kept(before);

      cr_expect(taken == 0, "nothing of it is taken");
    }
    std::ofstream(path) << good + R"(,"time_bounds":{"grace_s":9}})";
    std::raise(SIGHUP);
    cr_expect(await([&] { return taken > 0; }));
    std::raise(SIGTERM);
  });
  signals.serve(path, false, [&](const NodeSettings& changed) {
    cr_expect(changed.grace == 9s);
    ++taken;
  });
  driver.join();
  std::remove(path.c_str());
}

// At a registry's start: refused by name with one line, nothing begun; as soon as the file is put
// right it goes on.
Test(reload, a_registry_waits_for_settings_that_name_catch_up) {
  const std::string path = own_path();
  const std::string registry =
      R"({"node_name":"n","ip_address":"10.0.0.1","zone":"z","data_folder":"/d","first_contacts":["10.0.0.2:8"],"spare_ports":[7000,7010],
    "listens_on":{"control":"10.0.0.1:80"},"provider_api":{"address":"10.0.0.9:80"},"time_bounds":)";
  for (const std::string bounds : {R"({"catch_up_s":-1}})", R"({"catch_up_s":"soon"}})", "{}}"}) {
    std::ofstream(path) << registry + bounds;
    KeptLines kept;
    Signals signals(path);
    std::thread driver([&] {
      await([&] { return kept.refused > 0; });
      for (int round = 0; round < 3; ++round)
        std::raise(SIGHUP);
      std::ofstream(path) << registry + R"({"catch_up_s":5}})";
      std::raise(SIGHUP);
    });
    const std::optional<NodeSettings> settings = signals.await_node_settings(path, true);
    driver.join();
    cr_expect(settings && settings->catch_up == 5s);
    cr_expect(kept.refused == 1, "%d lines for %s", kept.refused.load(), bounds.c_str());
    std::remove(path.c_str());
  }
}
