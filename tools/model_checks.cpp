#include "model_checks.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <ranges>

namespace saddlewing::model {

namespace {

constexpr std::uint64_t never = std::numeric_limits<std::uint64_t>::max();

std::uint64_t digest_of(const Entry& entry) {
  std::string text = std::to_string(entry.version.value) + "|" + entry.body + "|" +
                     std::to_string(entry.core_size);
  for (const auto& list : lists_of(entry)) {
    text += "|";
    for (const Member& member : list)
      text += std::to_string(member.id.value) + "@" + member.address + ",";
  }
  for (const auto& [name, document] : entry.documents)
    text += "|" + name + "=" + document;
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t mix(std::uint64_t digest, std::uint64_t value) {
  return XXH3_64bits_withSeed(&value, sizeof value, digest);
}

}  // namespace

std::uint64_t History::digest() const {
  std::uint64_t digest = 0;
  for (const Call& call : calls_)
    for (const std::uint64_t value :
         {std::uint64_t{call.is_read}, static_cast<std::uint64_t>(call.version),
          XXH3_64bits(call.body.data(), call.body.size()), call.invoked, call.returned})
      digest = mix(digest, value);
  return digest;
}

std::uint64_t Ledger::digest() const {
  std::uint64_t digest = 0;
  for (const auto& [term, leader] : leaders_)
    for (const std::uint64_t value : {term, leader.first, leader.second})
      digest = mix(digest, value);
  for (const auto& [index, committed] : entries_)
    for (const std::uint64_t value : {index, committed.term.value, committed.digest})
      digest = mix(digest, value);
  return digest;
}

std::size_t History::start(bool is_read, std::int64_t version) {
  calls_.push_back(
      {is_read, version, is_read ? std::string() : std::to_string(calls_.size()), ++clock_, 0});
  return calls_.size() - 1;
}

void History::finish_write(std::size_t call) {
  if (!calls_[call].returned)
    calls_[call].returned = ++clock_;
}

void History::finish_read(std::size_t call, std::int64_t version, const std::string& body) {
  Call& read = calls_[call];
  if (read.returned)
    return;
  read.returned = ++clock_;
  read.version = version;
  read.body = body;
}

std::string History::check() const {
  // When the state was at `version` or above at the latest, as known by what was answered.
  std::map<std::int64_t, std::uint64_t> reached;
  for (const Call& call : calls_)
    if (call.returned) {
      const auto [position, is_new] = reached.try_emplace(call.version, call.returned);
      position->second = std::min(position->second, call.returned);
    }
  std::uint64_t minimum = never;
  for (auto& [version, returned] : std::ranges::reverse_view(reached)) {
    minimum = std::min(minimum, returned);
    returned = minimum;
  }
  std::map<std::int64_t, std::string> bodies;
  for (std::size_t number = 0; number < calls_.size(); ++number) {
    const Call& read = calls_[number];
    if (!read.is_read || !read.returned)
      continue;
    const std::string told =
        "read " + std::to_string(number) + " gave version " + std::to_string(read.version);
    if (const auto above = reached.upper_bound(read.version);
        above != reached.end() && above->second < read.invoked)
      return told + " though version " + std::to_string(above->first) +
             " was answered before it began";
    if (read.version == 0) {
      if (!read.body.empty())
        return told + " with body " + read.body;
      continue;
    }
    const auto [body, is_first] = bodies.try_emplace(read.version, read.body);
    if (body->second != read.body)
      return told + " with body " + read.body + ", another read gave body " + body->second;
    std::size_t writer = calls_.size();
    if (!read.body.empty() && read.body.find_first_not_of("0123456789") == std::string::npos &&
        read.body.size() < 10)
      writer = std::stoul(read.body);
    if (writer >= calls_.size() || calls_[writer].is_read || calls_[writer].version != read.version)
      return told + " with body " + read.body + ", which nobody wrote";
    if (calls_[writer].invoked > reached.lower_bound(read.version)->second)
      return told + " with body " + read.body +
             ", whose write began after that version or a higher one was answered";
  }
  return {};
}

void Ledger::fail(const char* check, std::string text) {
  if (!found_)
    found_ = Violation{check, std::move(text), 0};
}

void Ledger::lead(Term term, MemberId id, std::uint64_t incarnation) {
  const auto [position, is_new] = leaders_.try_emplace(term.value, id.value, incarnation);
  if (position->second != std::pair(id.value, incarnation))
    fail("one leader a term", "term " + std::to_string(term.value) + " is led by " +
                                  std::to_string(position->second.first) + " and by " +
                                  std::to_string(id.value));
}

void Ledger::compare(std::uint64_t index, const Committed& older, const Committed& newer) {
  const std::string where = "committed entry " + std::to_string(index);
  if (older.term > newer.term)
    fail("committed stays", where + " of term " + std::to_string(newer.term.value) +
                                " follows one of term " + std::to_string(older.term.value));
  if (older.version > newer.version)
    fail("acknowledged stays", where + " holds version " + std::to_string(newer.version.value) +
                                   " after version " + std::to_string(older.version.value));
  if (!do_majorities_meet(older.lists, newer.lists))
    fail("majorities meet",
         where + " has a majority that shares nobody with one of the members before");
}

void Ledger::commit(const Entry& entry) {
  const Committed seen{entry.term, entry.version, digest_of(entry), lists_of(entry)};
  const auto [position, is_new] = entries_.try_emplace(entry.index.value, seen);
  if (!is_new) {
    if (position->second.term != seen.term || position->second.digest != seen.digest)
      fail("committed stays", "entry " + std::to_string(entry.index.value) +
                                  " was committed twice, in terms " +
                                  std::to_string(position->second.term.value) + " and " +
                                  std::to_string(seen.term.value));
    return;
  }
  if (position != entries_.begin())
    compare(position->first, std::prev(position)->second, position->second);
  if (const auto next = std::next(position); next != entries_.end())
    compare(next->first, position->second, next->second);
  if (entry.version.value) {
    const auto [body, is_first] = bodies_.try_emplace(entry.version.value, entry.body);
    if (body->second != entry.body)
      fail("one body a version", "version " + std::to_string(entry.version.value) + " has bodies " +
                                     body->second + " and " + entry.body);
  }
  highest_ = std::max(highest_, entry.version);
}

void Ledger::force(Version version) {
  if (version.value && !bodies_.contains(version.value))
    fail("in force is committed",
         "version " + std::to_string(version.value) + " is in force, but not committed");
}

void Ledger::acknowledge(Version version) {
  if (version > highest_)
    fail("acknowledged is committed",
         "version " + std::to_string(version.value) + " was acknowledged, but not committed");
}

bool do_majorities_meet(const std::vector<std::vector<Member>>& older,
                        const std::vector<std::vector<Member>>& newer) {
  // A majority of a joint entry has one of each of its lists, so a pair of lists that always meet
  // is enough.
  const auto meet = [](const std::vector<Member>& left, const std::vector<Member>& right) {
    if (left.empty() || right.empty())
      return true;  // nothing was founded yet
    std::size_t common = 0;
    for (const Member& member : left)
      common += std::any_of(right.begin(), right.end(),
                            [&](const Member& other) { return other.id == member.id; });
    const auto need = [&](std::size_t size) {
      return size / 2 + 1 - std::min(size / 2 + 1, size - common);
    };
    return need(left.size()) + need(right.size()) > common;
  };
  return std::any_of(older.begin(), older.end(), [&](const auto& left) {
    return std::any_of(newer.begin(), newer.end(),
                       [&](const auto& right) { return meet(left, right); });
  });
}

}  // namespace saddlewing::model
