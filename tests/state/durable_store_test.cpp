#include <criterion/criterion.h>
#include <sys/resource.h>
#include <xxhash.h>
#include <csignal>

#include <boost/crc.hpp>

#include "state/bytes.h"
#include "state/durable_store.h"
#include "state/file_system_model.h"

using namespace saddlewing;

namespace {

using Failure = DiskModel::Failure;

PersistentState durable_of(std::uint64_t index, const std::string& body) {
  auto entry = std::make_shared<Entry>();
  entry->term = {3};
  entry->index = {index};
  entry->version = {static_cast<std::int64_t>(index)};
  entry->body = body;
  entry->members = {{MemberId{5}, "10.0.0.1:7"}};
  entry->core_size = 3;
  return {MemberId{5}, Term{3}, MemberId{5}, entry};
}

std::string body_of(std::uint64_t index, std::size_t size) {
  std::string body;
  while (body.size() < size)
    body += "state " + std::to_string(index) + ";";
  return body;
}

LoadStatus load(const std::string& folder, PersistentState& persistent) {
  LoadResult result = DurableStore(folder).load();
  if (result.status == LoadStatus::loaded)
    persistent = std::move(result.persistent);
  return result.status;
}

// The index of what is found; 0: nothing, or a record named as damaged.
std::uint64_t index_in(const std::string& folder, std::size_t size) {
  PersistentState persistent;
  const LoadStatus found = load(folder, persistent);
  cr_assert(found != LoadStatus::unknown_format && found != LoadStatus::unreadable);
  if (found != LoadStatus::loaded)
    return 0;
  const std::uint64_t index = persistent.entry->index.value;
  cr_assert(persistent.entry->body == body_of(index, size) && persistent.self.value == 5 &&
            persistent.voted_for.value == 5);
  return index;
}

// Every outcome of a loss of power now leaves a record no older than `minimum` and no newer than
// `limit`.
std::size_t expect_losses(const DiskModel& disk, std::size_t count, std::uint64_t minimum,
                          std::uint64_t limit, std::size_t size) {
  const Folder after;
  return disk.for_each_loss(count, minimum * 31 + limit, [&](const Files& files) {
    fill_folder(after.path(), files);
    const std::uint64_t index = index_in(after.path(), size);
    cr_assert(index >= minimum && index <= limit, "found %d, of %d to %d", int(index), int(minimum),
              int(limit));
  });
}

// As the landing before the slots wrote it: fresh.mdb, synced, renamed over state.mdb, its record
// closed by a CRC.
std::string first_format(const PersistentState& persistent) {
  Writer writer;
  writer.number(1)
      .number(persistent.self.value)
      .number(persistent.current_term.value)
      .number(persistent.voted_for.value);
  write_entry(writer, *persistent.entry);
  boost::crc_32_type crc;
  crc.process_bytes(writer.bytes().data(), writer.bytes().size());
  writer.number(crc.checksum());
  return writer.take();
}

bool save_by_rename(DiskModel& disk, const std::string& folder, const PersistentState& persistent) {
  const std::string fresh = folder + "/fresh.mdb";
  disk.remove(fresh);
  return !disk.create_empty(fresh) && !disk.write_image(fresh, first_format(persistent)) &&
         !disk.sync(fresh) && !disk.rename(fresh, folder + "/state.mdb") &&
         !disk.sync_folder(folder);
}

}  // namespace

Test(store, gives_back_what_was_saved_last) {
  const Folder folder;
  DurableStore store(folder.path());
  PersistentState found;
  cr_expect(store.load().status == LoadStatus::empty);
  cr_assert(!store.save(durable_of(1, "one")));
  cr_assert(!store.save(durable_of(2, std::string(200000, 'x'))));
  LoadResult result = store.load();
  cr_assert(result.status == LoadStatus::loaded);
  found = std::move(result.persistent);
  cr_expect(found.entry->index.value == 2 && found.entry->body.size() == 200000 &&
            found.self.value == 5);
  cr_expect(found.entry->members == durable_of(2, "").entry->members);
  for (std::uint64_t index = 3; index < 9; ++index) {  // of a new life each
    cr_assert(!DurableStore(folder.path()).save(durable_of(index, "again")));
    cr_assert(load(folder.path(), found) == LoadStatus::loaded);
    cr_expect(found.entry->index.value == index);
  }
}

// Each operation of a save fails in turn, in each way: the save says so and the record before it
// stays whole, also after a loss of power, and the next save passes.
Test(store, a_failure_at_any_point_leaves_the_record_before) {
  for (const std::uint64_t before : {1, 2, 3})
    for (const Failure failure : {Failure::refused, Failure::half, Failure::late, Failure::dropped})
      for (int number = 1;; ++number) {
        const Folder folder;
        const auto disk = std::make_shared<DiskModel>(folder.path());
        DurableStore store(folder.path(), disk);
        for (std::uint64_t index = 1; index <= before; ++index)
          cr_assert(!store.save(durable_of(index, body_of(index, 40))));
        disk->fail(number, failure);
        const int begun = disk->operations();
        const bool is_saved = !store.save(durable_of(before + 1, body_of(before + 1, 40)));
        if (disk->operations() - begun < number) {
          cr_assert(is_saved && number > 4, "operation %d", number);
          break;
        }
        cr_assert(!is_saved, "operation %d", number);
        cr_expect(index_in(folder.path(), 40) == before, "operation %d", number);
        expect_losses(*disk, 200, before, before + 1, 40);
        disk->recover();
        cr_assert(!store.save(durable_of(before + 2, body_of(before + 2, 40))));
        cr_expect(index_in(folder.path(), 40) == before + 2);
        expect_losses(*disk, 200, before + 2, before + 2, 40);
      }
}

// Power is lost between any two operations of the first saves, with every outcome of what was not
// synced.
Test(store, a_loss_of_power_at_any_point_leaves_the_last_record_or_the_one_being_saved) {
  for (const bool is_strict : {false, true})
    for (const std::size_t size : {40, 9000}) {
      const Folder folder;
      const auto disk = std::make_shared<DiskModel>(folder.path());
      disk->is_strict = is_strict;
      DurableStore store(folder.path(), disk);
      std::uint64_t saved = 0;
      std::size_t tried = 0;
      disk->after_each = [&] {
        tried += expect_losses(*disk, size == 40 ? 4096 : 400, saved, saved + 1, size);
      };
      for (std::uint64_t index = 1; index <= 4; ++index) {
        cr_assert(!store.save(durable_of(index, body_of(index, size))));
        saved = index;
        expect_losses(*disk, 400, saved, saved, size);
      }
      cr_expect(tried > 2000, "%d outcomes", int(tried));
    }
}

// The process is killed at any operation, its successor saves on, and power is lost at any point of
// that.
Test(store, a_kill_and_then_a_loss_of_power_lose_nothing_saved) {
  for (const bool is_strict : {false, true})
    for (const std::uint64_t before : {1, 2})
      for (int number = 1, is_killed = 1; is_killed; ++number) {
        const Folder folder;
        const auto disk = std::make_shared<DiskModel>(folder.path());
        disk->is_strict = is_strict;
        DurableStore first(folder.path(), disk);
        for (std::uint64_t index = 1; index <= before; ++index)
          cr_assert(!first.save(durable_of(index, body_of(index, 40))));
        disk->fail(number, Failure::killed);
        std::uint64_t saved =
            first.save(durable_of(before + 1, body_of(before + 1, 40))) ? before : before + 1;
        is_killed = disk->is_dead();
        cr_assert((saved == before) == is_killed && (is_killed || number > 4));
        disk->recover();
        const std::uint64_t held = index_in(folder.path(), 40);
        cr_assert(held >= saved && held <= before + 1);
        DurableStore second(folder.path(), disk);
        disk->after_each = [&] {
          expect_losses(*disk, 300, saved, saved < before + 2 ? before + 2 : before + 3, 40);
        };
        for (const std::uint64_t index : {before + 2, before + 3}) {
          cr_assert(!second.save(durable_of(index, body_of(index, 40))));
          saved = index;
        }
      }
}

// Days of saves, failures, kills and losses of power, drawn by a fixed seed.
Test(store, no_day_of_failures_brings_back_an_older_record) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    std::mt19937_64 random(seed);
    const Folder folder;
    const auto disk = std::make_shared<DiskModel>(folder.path());
    disk->is_strict = seed % 2;
    auto store = std::make_unique<DurableStore>(folder.path(), disk);
    const std::size_t size = seed % 3 ? 40 : 9000;
    std::uint64_t saved = 0, tried = 0;
    for (int step = 0; step < 14; ++step) {
      const auto draw = random() % 8;
      if (draw < 5 && draw)
        disk->fail(1 + static_cast<int>(random() % 7), static_cast<Failure>(random() % 5));
      if (!store->save(durable_of(tried + 1, body_of(tried + 1, size))))
        saved = tried + 1;
      ++tried;
      const bool is_killed = disk->is_dead() || draw == 5;
      disk->recover();
      cr_assert(index_in(folder.path(), size) >= saved, "day %d step %d", int(seed), step);
      if (is_killed)
        store = std::make_unique<DurableStore>(folder.path(), disk);
      if (draw < 6)
        continue;
      std::vector<Files> outcomes;
      disk->for_each_loss(40, random(), [&](const Files& files) { outcomes.push_back(files); });
      disk->lose(outcomes[random() % outcomes.size()]);
      const std::uint64_t index = index_in(folder.path(), size);
      cr_assert(index >= saved && index <= tried, "day %d step %d: %d, saved %d", int(seed), step,
                int(index), int(saved));
      store = std::make_unique<DurableStore>(folder.path(), disk);
    }
  }
}

// The way before the slots fails in this model, so the model would show it of the slots.
Test(store, the_model_finds_what_a_rename_may_lose) {
  const Folder folder, after;
  DiskModel disk(folder.path());
  std::uint64_t saved = 0, lost = 0;
  disk.after_each = [&] {
    disk.for_each_loss(4096, 1, [&](const Files& files) {
      fill_folder(after.path(), files);
      lost += index_in(after.path(), 40) < saved;
    });
  };
  for (std::uint64_t index = 1; index <= 3; ++index) {
    cr_assert(save_by_rename(disk, folder.path(), durable_of(index, body_of(index, 40))));
    saved = index;
  }
  cr_expect(lost > 0);
}

// What the landing before wrote is read, whichever of its names a loss of power left, until a slot
// was synced.
Test(store, a_store_of_before_the_slots_is_read) {
  for (const std::size_t size : {40, 9000, 400000}) {
    const Folder folder, old, after;
    FileSystem plain;
    for (const std::uint64_t index : {1, 2})
      cr_assert(!plain.write_image(old.path() + "/" + std::to_string(index),
                                   first_format(durable_of(index, body_of(index, size)))));
    const std::string one = read_file(old.path() + "/1"), two = read_file(old.path() + "/2");
    const std::string torn =
        two.substr(0, two.size() / 2) + std::string(two.size() - two.size() / 2, 0);
    const struct {
      Files files;
      std::uint64_t index;
    } rows[] = {{{{"state.mdb", two}}, 2},
                {{{"state.mdb", one}, {"fresh.mdb", two}}, 2},
                {{{"state.mdb", two}, {"fresh.mdb", one}}, 2},
                {{{"fresh.mdb", two}}, 2},
                {{{"state.mdb", one}, {"fresh.mdb", torn}}, 1},
                {{{"state.mdb", one}, {"fresh.mdb", ""}}, 1},
                {{{"state.mdb", torn}}, 0},
                {{{"state.mdb", torn}, {"fresh.mdb", one}}, 0}};
    for (const auto& row : rows) {
      const auto disk = std::make_shared<DiskModel>(folder.path());
      disk->lose(row.files);
      cr_expect(index_in(folder.path(), size) == row.index);
      DurableStore store(folder.path(), disk);
      std::uint64_t saved = row.index;
      disk->after_each = [&] {
        expect_losses(*disk,
                      size > 9000 ? 4
                      : size > 40 ? 60
                                  : 200,
                      saved, std::max<std::uint64_t>(saved, 2) + 1, size);
      };
      for (const std::uint64_t index : {3, 4}) {
        cr_assert(!store.save(durable_of(index, body_of(index, size))));
        saved = index;
      }
      cr_expect(!read_folder(folder.path()).contains("state.mdb") &&
                !read_folder(folder.path()).contains("fresh.mdb"));
    }
  }
}

// Any byte changed, any length cut: named as damaged, or as never sealed, and never served. LMDB
// would end the process on some.
Test(store, a_damaged_record_is_never_served) {
  const Folder folder;
  cr_assert(!DurableStore(folder.path()).save(durable_of(1, std::string(5000, 'q'))));
  const std::string path = folder.path() + "/slot-0.mdb", bytes = read_file(path);
  PersistentState found;
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string changed = bytes;
    changed[at] ^= 1 << at % 8;
    write_file(path, changed);
    const bool is_mark = at >= bytes.size() - 16 && at < bytes.size() - 8;
    cr_assert(load(folder.path(), found) == (is_mark ? LoadStatus::empty : LoadStatus::damaged),
              "byte %d", int(at));
  }
  for (std::size_t size = 0; size < bytes.size(); size += size % 64 ? 1 : 61) {
    write_file(path, bytes.substr(0, size));
    cr_assert(load(folder.path(), found) == LoadStatus::empty, "cut to %d", int(size));
  }
  write_file(folder.path() + "/slot-1.mdb",
             "");  // begun after slot 0 was synced: something was lost
  cr_expect(load(folder.path(), found) == LoadStatus::damaged);
}

// LMDB would believe a damaged page of a file without a seal; it is not asked.
Test(store, a_damaged_store_of_before_the_slots_is_read_whole_or_not_at_all) {
  for (const std::size_t size : {40, 5000}) {
    const Folder folder;
    const std::string path = folder.path() + "/state.mdb";
    cr_assert(!FileSystem().write_image(path, first_format(durable_of(1, body_of(1, size)))));
    const std::string bytes = read_file(path);
    std::size_t damaged = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      std::string changed = bytes;
      changed[at] ^= 0xff;
      write_file(path, changed);
      damaged += index_in(folder.path(), size) == 0;
    }
    cr_expect(damaged >= size, "%d", int(damaged));
    for (std::size_t cut = 0; cut < bytes.size(); cut += 7) {
      write_file(path, bytes.substr(0, cut));
      index_in(folder.path(), size);
    }
  }
}

// In either slot, or in a file of before the slots: refused by name, nothing served, nothing
// written.
Test(store, an_unknown_format_is_refused_and_left_alone) {
  const Folder folder, old;
  DurableStore store(folder.path());
  for (const std::uint64_t index : {1, 2})
    cr_assert(!store.save(durable_of(index, body_of(index, 40))));
  const Files whole = read_folder(folder.path());
  const std::string first = whole.at("slot-0.mdb"), second = whole.at("slot-1.mdb");
  std::string record = encode_persistent_state(durable_of(1, "later"));
  record[0] = 3;
  const std::uint64_t sum = XXH3_64bits(record.data(), record.size() - 8);
  std::memcpy(record.data() + record.size() - 8, &sum, sizeof sum);
  FileSystem plain;
  cr_assert(!plain.write_image(old.path() + "/1", record));
  const std::string image = read_file(old.path() + "/1");
  const Files rows[] = {{{"slot-0.mdb", of_later_format(first)}, {"slot-1.mdb", second}},
                        {{"slot-0.mdb", first}, {"slot-1.mdb", of_later_format(second)}},
                        {{"slot-0.mdb", of_later_format(first)}},
                        {{"slot-0.mdb", "torn"}, {"slot-1.mdb", of_later_format(second)}},
                        {{"state.mdb", image}}};
  for (const Files& files : rows) {
    fill_folder(folder.path(), files);
    DurableStore later(folder.path());
    const LoadResult result = later.load();
    cr_expect(result.status == LoadStatus::unknown_format);
    const std::string error = result.error.text();
    cr_expect(error.find("format") != std::string::npos && error.find(".mdb") != std::string::npos,
              "%s", error.c_str());
    cr_expect(later.save(durable_of(9, "nine")));
    cr_expect(read_folder(folder.path()) == files);
  }
}

// What cannot be read may be the newest record: it is neither served nor written over, and no core
// is founded.
Test(store, an_unreadable_slot_is_refused) {
  const Folder folder;
  DurableStore store(folder.path());
  cr_assert(!store.save(durable_of(1, "one")));
  cr_assert(std::filesystem::create_directory(folder.path() + "/slot-1.mdb"));
  const std::string whole = read_file(folder.path() + "/slot-0.mdb");
  PersistentState found;
  DurableStore later(folder.path());
  cr_expect(load(folder.path(), found) == LoadStatus::unreadable);
  cr_expect(later.save(durable_of(2, "two")));
  cr_expect(read_file(folder.path() + "/slot-0.mdb") == whole);
  std::filesystem::remove(folder.path() + "/slot-1.mdb");
  cr_expect(load(folder.path(), found) == LoadStatus::loaded);
  cr_expect(!later.save(durable_of(2, "two")));
}

// The system's own refusals: a limit on the size of files stands for a full disk.
Test(store, a_full_disk_loses_nothing) {
  const Folder folder;
  DurableStore store(folder.path());
  cr_assert(!store.save(durable_of(1, body_of(1, 40))));
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit limit{};
  cr_assert(::getrlimit(RLIMIT_FSIZE, &limit) == 0);
  for (const rlim_t size : {0, 5000, 12288, 100000}) {
    const rlimit full{size, limit.rlim_max};
    cr_assert(::setrlimit(RLIMIT_FSIZE, &full) == 0);
    cr_expect(store.save(durable_of(2, body_of(2, 300000))), "%d bytes", int(size));
    cr_expect(index_in(folder.path(), 40) == 1);
  }
  cr_assert(::setrlimit(RLIMIT_FSIZE, &limit) == 0);
  cr_assert(!store.save(durable_of(2, body_of(2, 300000))));
  cr_expect(index_in(folder.path(), 300000) == 2);
}

// One sync a save once both slots have their names, and not much more than the record is written.
Test(store, a_save_costs_one_sync) {
  const Folder folder;
  const auto disk = std::make_shared<DiskModel>(folder.path());
  DurableStore store(folder.path(), disk);
  for (const std::uint64_t index : {1, 2})
    cr_assert(!store.save(durable_of(index, body_of(index, 40))));
  for (const std::size_t size : {4000, 4000000}) {
    const int syncs = disk->syncs();
    const std::uint64_t written = disk->written();
    cr_assert(!store.save(durable_of(3, body_of(3, size))));
    cr_expect(disk->syncs() - syncs == 1);
    cr_expect(disk->written() - written < size + 5 * 4096, "%d bytes",
              int(disk->written() - written));
  }
}
