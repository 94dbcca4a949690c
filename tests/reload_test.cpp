// A settings file that changes to something wrong, torn or missing, many times over.
#include <criterion/criterion.h>
#include <glog/logging.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

#include "programs/signals.h"

using namespace saddlewing;

namespace {

class KeptLines final : public google::LogSink {
 public:
  KeptLines() { google::AddLogSink(this); }
  ~KeptLines() override { google::RemoveLogSink(this); }
  void send(google::LogSeverity, const char*, const char*, int, const struct ::tm*, const char* text, size_t size) override {
    const std::string line(text, size);
    if (line.find("kept as it was") == std::string::npos) return;
    ++lines;
    if (line.find("time_bounds.grace_s") != std::string::npos) ++fields;
  }
  std::atomic<int> lines = 0, fields = 0;
};

// Turns until it is so, or five seconds are over.
template <class Condition>
bool await(const Condition& is_so) {
  for (const Moment until = Clock::now() + 5s; Clock::now() < until; std::this_thread::yield())
    if (is_so()) return true;
  return false;
}

}  // namespace

Test(reload, a_wrong_file_keeps_the_old_settings_and_says_the_field) {
  const std::string path = "/tmp/saddlewing-reload-" + std::to_string(::getpid()) + ".json";
  const std::string good = R"({"node_name":"n","ip_address":"10.0.0.1","zone":"z","first_contacts":["10.0.0.2:8"],"spare_ports":[7000,7010],
    "listens_on":{"front":"10.0.0.1:80","ready_check":"10.0.0.1:81"})";
  std::ofstream(path) << good + "}";
  KeptLines kept;
  std::atomic<int> taken = 0;
  Signals signals;
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
  signals.serve(path, false, [&](const Startup& changed) {
    cr_expect(changed.grace == 9s);
    ++taken;
  });
  driver.join();
  std::remove(path.c_str());
}
