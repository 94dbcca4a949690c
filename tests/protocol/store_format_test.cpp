// A store's folder as an earlier build left it, against fixtures: what a registry must not lose
// outlives every build.
#include "protocol/fixture_files.h"
#include "state/durable_store.h"
#include "state/file_system_model.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

PersistentState durable_of(std::uint64_t index) {
  auto entry = std::make_shared<Entry>();
  entry->term = {701};
  entry->index = {index};
  entry->version = {702};
  entry->body = R"({"version":702,"services":[],"routes":[]})";
  entry->members = {{MemberId{703}, "10.0.0.1:7400"},
                    {MemberId{704}, "10.0.0.2:7400"},
                    {MemberId{705}, "10.0.0.3:7400"}};
  entry->outgoing = {{MemberId{703}, "10.0.0.1:7400"}, {MemberId{706}, "10.0.0.4:7400"}};
  entry->core_size = 3;
  entry->documents = {{"fleet", std::string("\5\0\0\0\0\0\0\0", 8)},
                      {"leads", "a table"},
                      {"orders", ""},
                      {"ring", "a ring"}};
  return {MemberId{703}, Term{707}, MemberId{704}, entry};
}

PersistentState joint_less_durable() {
  auto entry = std::make_shared<Entry>();
  entry->term = {711};
  entry->index = {712};
  entry->version = {713};
  entry->body = "a body";
  entry->members = {{MemberId{714}, "10.0.0.1:7400"}};
  entry->core_size = 1;
  return {MemberId{714}, Term{715}, MemberId{0}, entry};
}

void expect_same(const PersistentState& read, const PersistentState& expected) {
  cr_expect(read.self == expected.self && read.current_term == expected.current_term &&
            read.voted_for == expected.voted_for);
  const Entry &entry = *read.entry, &other = *expected.entry;
  cr_expect(entry.term == other.term && entry.index == other.index &&
            entry.version == other.version);
  cr_expect(entry.body == other.body);
  cr_expect(entry.members == other.members && entry.outgoing == other.outgoing &&
            entry.core_size == other.core_size);
  cr_expect(entry.documents == other.documents);
}

void check_record(const std::string& name, const PersistentState& persistent) {
  const std::string file = "store/" + name + ".bin";
  expect_fixture(file, encode_persistent_state(persistent));
  const std::string bytes = read_fixture(file);
  PersistentState read;
  cr_assert(decode_persistent_state(bytes, read) == DecodeStatus::decoded, "%s", name.c_str());
  expect_same(read, persistent);
  const auto decodes = [](const std::string& some) {
    PersistentState decoded;
    return decode_persistent_state(some, decoded) == DecodeStatus::decoded;
  };
  expect_prefixes_refused(name, bytes, decodes);
  for (std::size_t position = 0; position < bytes.size(); ++position) {
    std::string damaged = bytes;
    damaged[position] = static_cast<char>(damaged[position] ^ 1);
    cr_expect(!decodes(damaged), "%s, byte %zu", name.c_str(), position);
  }
  decode_random_bytes({}, bytes, decodes);
}

const char* const slot_names[] = {"slot-0.mdb", "slot-1.mdb"};

// A copy, for opening a store may write to it.
void copy_store(const std::string& folder) {
  for (const char* name : slot_names)
    write_file(folder + "/" + name, read_fixture("store/" + std::string(name)));
}

LoadStatus load(const std::string& folder, PersistentState& persistent) {
  LoadResult result = DurableStore(folder).load();
  if (result.status == LoadStatus::loaded)
    persistent = std::move(result.persistent);
  return result.status;
}

}  // namespace

Test(store_format, records) {
  check_record("record_full", durable_of(721));
  check_record("record_without_documents", joint_less_durable());
}

// Slot 0 took the saves 1 and 3, slot 1 the save 2.
Test(store_format, a_folder_of_an_earlier_build_is_read) {
  const Folder folder;
  copy_store(folder.path());
  PersistentState persistent;
  cr_assert(load(folder.path(), persistent) == LoadStatus::loaded);
  expect_same(persistent, durable_of(723));
  std::filesystem::remove(folder.path() + "/" + slot_names[0]);
  cr_assert(load(folder.path(), persistent) == LoadStatus::loaded);
  expect_same(persistent, durable_of(722));
}

Test(store_format, a_folder_of_an_earlier_build_is_written_on) {
  const Folder folder;
  copy_store(folder.path());
  PersistentState persistent;
  cr_assert(!DurableStore(folder.path()).save(durable_of(724)));
  cr_expect(read_file(folder.path() + "/" + slot_names[0]) == read_fixture("store/slot-0.mdb"),
            "the newest record stays");
  cr_assert(load(folder.path(), persistent) == LoadStatus::loaded);
  expect_same(persistent, durable_of(724));
}

// The same saves leave the same files, image and seal.
Test(store_format, a_folder_is_written_as_before) {
  const Folder folder;
  DurableStore store(folder.path());
  for (const std::uint64_t index : {721, 722, 723})
    cr_assert(!store.save(durable_of(index)));
  for (const char* name : slot_names)
    expect_fixture("store/" + std::string(name), read_file(folder.path() + "/" + name));
}

Test(store_format, slots_cut_short_are_told_as_damaged) {
  const Folder folder;
  copy_store(folder.path());
  const std::string newest = read_fixture("store/slot-0.mdb");
  PersistentState persistent;
  for (std::size_t length = 0; length < newest.size();
       length += length + 96 < newest.size() ? 61 : 1) {
    write_file(folder.path() + "/" + slot_names[0], newest.substr(0, length));
    cr_assert(load(folder.path(), persistent) == LoadStatus::loaded, "cut to %zu bytes", length);
    cr_expect(persistent.entry->index == Index{722}, "cut to %zu bytes", length);
  }
  std::filesystem::remove(folder.path() + "/" + slot_names[0]);
  write_file(folder.path() + "/" + slot_names[1], read_fixture("store/slot-1.mdb").substr(0, 100));
  cr_expect(load(folder.path(), persistent) == LoadStatus::damaged);
}
