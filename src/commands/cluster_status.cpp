// saddlewing core: members, term, leader and catching-up, as each registry asked knows them.
#include <json/json.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>

#include "commands/commands.h"
#include "protocol/cluster_status.h"
#include "protocol/frame.h"
#include "state/node_settings.h"
#include "transport/frame_link.h"

namespace saddlewing {
namespace {

enum Exit {
  all_confirmed = 0,
  silent = 1,
  no_majority = 3
};
constexpr Duration ask_again{100};

// Asks all contacts at once, each until it answers or the time is over.
std::map<std::string, ClusterStatus> ask(const std::vector<std::string>& contacts, Duration limit) {
  const TimePoint until = Clock::now() + limit;
  LinkContext context;
  Waker waker;
  std::map<std::string, std::unique_ptr<FrameClient>> clients;
  std::map<std::string, TimePoint> asked;
  std::map<std::string, ClusterStatus> found;
  for (const std::string& contact : contacts) {
    Address address;
    if (parse_address(contact, address))
      clients.try_emplace(contact, std::make_unique<FrameClient>(context, address));
  }
  while (Clock::now() < until && found.size() < clients.size()) {
    const TimePoint now = Clock::now();
    std::vector<void*> handles;
    bool is_connecting = false;
    for (const auto& [contact, client] : clients) {
      if (found.contains(contact))
        continue;
      handles.push_back(client->handle());
      if (now - asked[contact] < ask_again * 3)
        continue;
      if (client->send(encode_cluster_status_request({FrameKind::cluster_status_request, {}, {}})))
        asked[contact] = now;
      else
        is_connecting = true;
    }
    wait_links(handles, waker,
               std::min(is_connecting ? ask_again / 5 : ask_again,
                        std::chrono::ceil<Duration>(until - now)));
    for (const auto& [contact, client] : clients)
      while (const auto frame = client->receive()) {
        ByteReader reader(frame->bytes);
        FrameHead head;
        ClusterStatus status;
        if (decode_head(reader, head) && head.kind == FrameKind::cluster_status &&
            decode(reader, status))
          found.try_emplace(contact, std::move(status));
      }
  }
  return found;
}

// Of a voter that knows more of its leader's entries than it holds.
std::uint64_t behind(const ClusterStatus& status) {
  return status.leader_last.value - std::min(status.leader_last.value, status.last.value);
}

const char* disk_of(const ClusterStatus& status) {
  return status.is_save_failing ? "failing" : status.is_save_stuck ? "stuck" : "fine";
}
const char* member_of(const ClusterStatus& status) {
  return status.is_removed ? "removed" : status.is_voter ? "voter" : "learner";
}

Json::Value numbered(std::uint64_t value) {
  return {static_cast<Json::UInt64>(value)};
}

Json::Value json_of(const std::string& contact, const ClusterStatus& status) {
  Json::Value root(Json::objectValue);
  root["contact"] = contact;
  root["node"] = status.node;
  root["id"] = std::to_string(status.self.value);  // a text: not every reader of JSON keeps 64 bits
  root["address"] = status.address;
  root["member"] = member_of(status);
  root["role"] = name_of(status.role);
  root["term"] = numbered(status.term.value);
  root["leader"] = status.leader.empty() ? Json::Value() : Json::Value(status.leader);
  if (status.role == ClusterStatus::Role::follower && !status.leader.empty())
    root["leader_heard_ms"] = numbered(status.leader_last_contact);
  root["majority"] = status.is_confirmed;
  root["committed"] = Json::Value();
  if (status.has_committed) {
    root["committed"] = Json::Value(Json::objectValue);
    root["committed"]["term"] = numbered(status.committed_term.value);
    root["committed"]["index"] = numbered(status.committed.value);
    root["committed"]["version"] = Json::Value(static_cast<Json::Int64>(status.version.value));
  }
  root["last_index"] = numbered(status.last.value);
  root["behind"] = numbered(behind(status));
  root["disk"] = disk_of(status);
  root["saving_ms"] = numbered(status.saving);
  root["core_size"] = numbered(status.core_size);
  root["members"] = Json::Value(Json::arrayValue);
  for (const ClusterStatus::Peer& peer : status.peers) {
    Json::Value value(Json::objectValue);
    value["id"] = std::to_string(peer.id.value);
    value["address"] = peer.address;
    value["member"] = peer.is_voter ? "voter" : "learner";
    value["self"] = peer.id == status.self;
    if (status.role == ClusterStatus::Role::leader && peer.is_known) {
      value["heard_ms"] = numbered(peer.last_contact);
      value["matched"] = peer.is_matched;
      value["behind"] = numbered(peer.behind);
    }
    root["members"].append(value);
  }
  return root;
}

void print(const std::string& contact, const ClusterStatus& status) {
  const auto number = [](std::uint64_t value) {
    return static_cast<unsigned long long>(value);
  };
  std::printf("%s at %s: %s, %s, term %llu, id %llu\n", status.node.c_str(), contact.c_str(),
              member_of(status), name_of(status.role), number(status.term.value),
              number(status.self.value));
  if (status.is_confirmed)
    std::printf("  a majority stands behind it\n");
  else
    std::printf("  no majority behind it: what follows may be old\n");
  if (status.leader.empty())
    std::printf("  leader: none known\n");
  else if (status.role == ClusterStatus::Role::leader)
    std::printf("  leader: itself\n");
  else
    std::printf("  leader: %s, heard %llu ms ago\n", status.leader.c_str(),
                number(status.leader_last_contact));
  if (status.has_committed)
    std::printf("  committed: version %lld, index %llu of term %llu\n",
                static_cast<long long>(status.version.value), number(status.committed.value),
                number(status.committed_term.value));
  else
    std::printf("  committed: nothing known since it started\n");
  if (behind(status))
    std::printf("  catches up: %llu entries behind its leader\n", number(behind(status)));
  std::printf("  disk: %s", disk_of(status));
  if (status.saving)
    std::printf(", a save under way for %llu ms", number(status.saving));
  std::printf("\n  voters wanted: %u\n  %-24s %-8s %-21s %10s  %s\n", status.core_size, "address",
              "member", "id", "heard ms", "state");
  for (const ClusterStatus::Peer& peer : status.peers) {
    std::string state = "-";
    std::string last_contact = "-";
    if (status.role == ClusterStatus::Role::leader && peer.is_known) {
      last_contact = std::to_string(peer.last_contact);
      state = peer.is_matched ? "matched"
              : peer.behind   ? std::to_string(peer.behind) + " behind"
                              : "not matched";
    }
    if (peer.id == status.self)
      last_contact = "itself";
    std::printf("  %-24s %-8s %-21llu %10s  %s\n", peer.address.c_str(),
                peer.is_voter ? "voter" : "learner", number(peer.id.value), last_contact.c_str(),
                state.c_str());
  }
}

}  // namespace

int run_cluster_status(const std::vector<std::string>& contacts, bool is_json, int wait_ms) {
  const std::map<std::string, ClusterStatus> found = ask(contacts, Duration(wait_ms));
  bool is_any_silent = false;
  bool is_any_alone = false;
  Json::Value root(Json::objectValue);
  root["registries"] = Json::Value(Json::arrayValue);
  root["silent"] = Json::Value(Json::arrayValue);
  for (const std::string& contact : contacts) {
    const auto position = found.find(contact);
    if (position == found.end()) {
      is_any_silent = true;
      root["silent"].append(contact);
      std::cerr << "core: no registry answers at " << contact << " within " << wait_ms << " ms\n";
      continue;
    }
    is_any_alone = is_any_alone || !position->second.is_confirmed;
    if (is_json)
      root["registries"].append(json_of(contact, position->second));
    else
      print(contact, position->second);
  }
  if (is_json)
    std::cout << root.toStyledString();
  return is_any_alone ? no_majority : is_any_silent ? silent : all_confirmed;
}

}  // namespace saddlewing
