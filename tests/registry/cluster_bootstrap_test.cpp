#include <criterion/criterion.h>
#include <glog/logging.h>

#include "registry/cluster_bootstrap.h"
#include "state/file_system_model.h"

using namespace saddlewing;

namespace {

class CountedLog final : public google::LogSink {
 public:
  CountedLog() {
    google::AddLogSink(this);
  }
  ~CountedLog() override {
    google::RemoveLogSink(this);
  }
  void send(google::LogSeverity, const char*, const char*, int, const std::tm*, const char* text,
            std::size_t size) override {
    lines.emplace_back(text, size);
  }
  std::vector<std::string> lines;
};

NodeSettings founder(const std::string& folder) {
  NodeSettings settings;
  settings.ip_address = "10.0.0.1";
  settings.inner_port = 7000;
  settings.contacts = {{"10.0.0.1", 8}, {"10.0.0.2", 8}, {"10.0.0.3", 8}};
  settings.is_first_run = true;
  settings.data_folder = folder;
  return settings;
}

const auto never = [] {
  return false;
};

}  // namespace

// Only an empty disk founds; a damaged one asks to join under a fresh id, even at what claims to be
// the first run.
Test(founding, only_an_empty_disk_founds_a_core) {
  const Folder folder;
  const NodeSettings settings = founder(folder.path());
  DurableStore store(folder.path());
  std::optional<PersistentState> persistent = load_or_found(settings, store, MemberId{99}, never);
  cr_assert(persistent && persistent->entry->members.size() == 3);
  cr_expect(persistent->self != MemberId{99});
  const MemberId self = persistent->self;
  cr_assert(!store.save(*persistent));
  persistent = load_or_found(settings, store, MemberId{99}, never);
  cr_assert(persistent && persistent->self == self);
  const std::string path = folder.path() + "/slot-0.mdb";
  std::string bytes = read_file(path);
  bytes[9000] ^= 1;
  write_file(path, bytes);
  persistent = load_or_found(settings, store, MemberId{99}, never);
  cr_assert(persistent && persistent->self == MemberId{99} && persistent->entry->members.empty());
}

// One line in the log, nothing changed, neither an end nor a core founded anew; served again once
// it can be.
Test(founding, a_store_of_an_unknown_format_is_waited_for) {
  const Folder folder;
  const NodeSettings settings = founder(folder.path());
  DurableStore store(folder.path());
  cr_assert(!store.save({MemberId{5}, Term{3}, MemberId{5}, std::make_shared<Entry>()}));
  const Files whole = read_folder(folder.path());
  Files later = whole;
  later["slot-1.mdb"] = of_later_format(whole.at("slot-0.mdb"));
  fill_folder(folder.path(), later);
  int waits = 0;
  CountedLog log;
  cr_expect(!load_or_found(settings, store, MemberId{99}, [&] { return ++waits < 50; }));
  cr_expect(waits == 50 && log.lines.size() == 1, "%d lines", int(log.lines.size()));
  cr_expect(log.lines.at(0).find("slot-1.mdb") != std::string::npos &&
            log.lines.at(0).find("format 3") != std::string::npos);
  cr_expect(read_folder(folder.path()) == later);
  const auto back = [&](const Files& files) {
    fill_folder(folder.path(), later);
    return load_or_found(settings, store, MemberId{99},
                         [&] { return fill_folder(folder.path(), files), true; });
  };
  std::optional<PersistentState> persistent = back(whole);
  cr_expect(persistent && persistent->self == MemberId{5});
  persistent = back({});  // there was a store, so this is no first run
  cr_expect(persistent && persistent->self == MemberId{99} && persistent->entry->members.empty());
}
