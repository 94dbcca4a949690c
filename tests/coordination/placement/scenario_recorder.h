#pragma once
// Requests of a scenario and the recorder that judges their answers. Knows nothing of brokers and
// moves; single-threaded.
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/placement/shard_node_fixture.h"

namespace saddlewing::tests {

enum class Ask {
  lookup,
  desk_check,
  write,
  typeahead,
  history
};
struct Request {
  int id = 0;
  Ask ask{};
  std::string account;
  TimePoint born{}, until{};
  int tries = 0;
  bool is_gathered() const {
    return ask == Ask::typeahead;
  }
  bool is_heavy() const {
    return ask == Ask::history;
  }
};

// Knows every write that was acknowledged, and judges what is answered by that alone.
class Recorder {
 public:
  void acknowledge(const Request& request, TimePoint now) {
    written_[request.account].push_back({request.id, now});
  }
  void land(int id) {
    doubled += ++landed_[id] > 1;
  }
  void finish(const Request& request) {
    ++finals_[request.id];
  }
  void judge_read(const Request& request, const std::string& account, const std::vector<int>& seen,
                  TimePoint began) {
    for (const auto& [id, when] : written_[account])
      if (when < began && std::find(seen.begin(), seen.end(), id) == seen.end()) {
        ++stale;
        (void)request;
        return;
      }
  }
  void judge_gather(const Request& request,
                    const std::vector<std::pair<std::string, std::vector<int>>>& seen,
                    std::size_t accounts, TimePoint began) {
    std::map<std::string, int> counts;
    for (const auto& [account, writes] : seen) {
      doubling += ++counts[account] > 1;
      judge_read(request, account, writes, began);
    }
    lacking += counts.size() < accounts;
  }
  // At the end: every acknowledged write is at its owner, and every request had one final answer.
  void close(const RingMap& ring, const std::vector<ShardNode>& nodes, int last) {
    for (const auto& [account, writes] : written_) {
      const auto& copies = nodes[ring.owner_of(account)].copies;
      const auto copy = copies.find(account);
      for (const auto& [id, when] : writes)
        missing += copy == copies.end() ||
                   std::count(copy->second.writes.begin(), copy->second.writes.end(), id) != 1;
    }
    for (int id = 1; id <= last; ++id)
      stranded += finals_[id] != 1;
  }
  int wrongs() const {
    return stranded + doubled + missing + lacking + doubling + stale;
  }
  std::string text() const {
    return "stranded " + std::to_string(stranded) + ", writes doubled " + std::to_string(doubled) +
           ", missing " + std::to_string(missing) + ", answers lacking " + std::to_string(lacking) +
           ", doubling " + std::to_string(doubling) + ", stale " + std::to_string(stale);
  }
  int stranded = 0, doubled = 0, missing = 0, lacking = 0, doubling = 0, stale = 0;

 private:
  std::map<std::string, std::vector<std::pair<int, TimePoint>>> written_;
  std::map<int, int> landed_, finals_;
};

}  // namespace saddlewing::tests
