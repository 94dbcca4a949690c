#pragma once
// The hash ring: which node owns which key. An operator's file names the nodes; moves change owners
// one by one.
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

using VirtualNode = std::uint32_t;

// What a move carries: a virtual node, or a single account (a key).
struct RingUnit {
  VirtualNode virtual_node = 0;  // of an account: where the ring has it
  std::string account;           // empty: the virtual node as a whole
  bool is_account() const {
    return !account.empty();
  }
  // Of an account its name alone counts.
  auto operator<=>(const RingUnit& other) const {
    if (const auto order = account <=> other.account; order != 0)
      return order;
    return is_account() ? std::strong_ordering::equal : virtual_node <=> other.virtual_node;
  }
  bool operator==(const RingUnit& other) const {
    return (*this <=> other) == 0;
  }
  std::string text() const {
    return is_account() ? "account " + account : "virtual node " + std::to_string(virtual_node);
  }
};
// An account is one part of a path: 1 to 128 characters that a path may hold, no slash.
bool is_account_form(std::string_view text);

inline constexpr std::size_t max_placed =
    4096;  // accounts that live elsewhere than the ring has them

struct RingNode {
  std::string name;  // a service that the rule's shares allow
  std::string zone, region;
  double weight = 1;  // of its share of keys, and of what it is expected to carry
  double memory_mb = 0, disk_mb = 0;
  double disk_mb_s = 100, link_mb_s = 100;
};

// Invariant: `owners` has an entry for every virtual node, an index into `nodes`; `points` rise.
struct RingMap {
  Version version;
  std::string route;         // by name
  std::size_t key_part = 0;  // which part of the path behind path_start
  std::vector<RingNode> nodes;
  double memory_mb = 1, disk_mb = 10;                      // of a virtual node
  std::map<VirtualNode, std::pair<double, double>> sizes;  // of those that differ: memory, disk
  double account_memory_mb = 0.1, account_disk_mb = 1;     // of an account
  std::map<std::string, std::pair<double, double>, std::less<>>
      account_sizes;  // of those that differ
  std::vector<std::uint32_t> owners;
  std::map<std::string, std::uint32_t, std::less<>>
      placed;  // accounts by an index into `nodes`: looked up before the ring
  std::vector<std::pair<std::uint64_t, VirtualNode>> points;

  VirtualNode find(std::string_view key) const;
  std::uint32_t owner_of(std::string_view key) const;  // an index into `nodes`
  std::uint32_t owner_of(const RingUnit& unit) const {
    return unit.is_account() ? owner_of(unit.account) : owners[unit.virtual_node];
  }
  const RingNode& owner(VirtualNode virtual_node) const {
    return nodes[owners[virtual_node]];
  }
  std::size_t index_of(const std::string& node) const;                // nodes.size(): none
  std::pair<double, double> size_of(VirtualNode virtual_node) const;  // memory, disk
  std::pair<double, double> size_of(const RingUnit& unit) const;
  std::pair<double, double> used_of(std::size_t node) const;
  // The part of a path that is the key; false if it has none.
  bool key_of(std::string_view path, std::string_view path_start, std::string_view& key) const;
};

// Reads the operator's YAML whole. The fault names field and node.
Error read_ring(const std::string& text, RingMap& ring);

// What the registries agree on: the file, and who owns otherwise than it says.
struct RingDocument {
  std::uint64_t revision = 0;
  std::string file;
  std::map<VirtualNode, std::string> moved;
  std::string moves;                          // see coordination/ring_moves.h
  std::map<std::string, std::string> placed;  // accounts by the node that owns them
};
inline constexpr const char* ring_document = "ring";
std::string encode_ring(const RingDocument& document);
bool decode_ring(const std::string& bytes, RingDocument& document);
// The map in force by a sheet; owners that are no nodes any more fall back to what the file says.
Error ring_of(const RingDocument& document, RingMap& ring);

}  // namespace saddlewing
