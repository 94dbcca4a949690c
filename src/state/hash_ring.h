#pragma once
// The hash ring: which node owns which key. An operator's file names the nodes and gives each
// virtual node an owner; migrations change owners one by one, and what they changed is a replicated
// document. When to migrate is decided in coordination/placement. Plain values; a RingMap that
// nobody changes any more may be shared by threads.
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/error.h"
#include "state/types.h"

namespace saddlewing {

/** Number of a virtual node, from 0. */
using VirtualNode = std::uint32_t;

/** What a migration carries: a virtual node, or a single account (a key). */
struct RingUnit {
  /** Of an account: where the ring has it. */
  VirtualNode virtual_node = 0;
  /** Empty: the virtual node as a whole. */
  std::string account;

  bool is_account() const {
    return !account.empty();
  }
  /** Of an account its name alone counts. */
  auto operator<=>(const RingUnit& other) const {
    if (const auto order = account <=> other.account; order != 0)
      return order;
    return is_account() ? std::strong_ordering::equal : virtual_node <=> other.virtual_node;
  }
  bool operator==(const RingUnit& other) const {
    return (*this <=> other) == 0;
  }
  /** As operators read it. */
  std::string text() const {
    return is_account() ? "account " + account : "virtual node " + std::to_string(virtual_node);
  }
};

/** Whether a text may be an account: one part of a path, 1 to 128 characters that a path may hold,
    no slash. */
bool is_account_form(std::string_view text);

/** The most accounts that may live elsewhere than the ring has them. */
inline constexpr std::size_t max_placed = 4096;

/** A node that owns virtual nodes. */
struct RingNode {
  /** A service that the route's shares allow. */
  std::string name;
  std::string zone;
  /** Empty if the file names none. */
  std::string region;
  /** Relative to other nodes: its share of keys, and of what it is expected to carry. */
  double weight = 1;
  /** What it has, in MB. */
  double memory_mb = 0, disk_mb = 0;
  /** MB a second that a migration may take of its disk and of its link. */
  double disk_mb_s = 100, link_mb_s = 100;
};

/** What a virtual node or an account takes, in MB. */
struct RingSize {
  double memory_mb = 0;
  double disk_mb = 0;
};

/**
 * The ring in force. Invariant: `owners` has an entry for every virtual node, an index into
 * `nodes`; `points` rise.
 */
struct RingMap {
  /** Of the operator's file. */
  Version version;
  /** Name of the route whose requests go by the ring. */
  std::string route;
  /** Which part of the path behind the route's prefix is the key; 0 is the first. */
  std::size_t key_part = 0;
  std::vector<RingNode> nodes;
  /** Of a virtual node that `sizes` does not name. */
  RingSize virtual_node_size{1, 10};
  std::map<VirtualNode, RingSize> sizes;
  /** Of an account that `account_sizes` does not name. */
  RingSize account_size{0.1, 1};
  std::map<std::string, RingSize, std::less<>> account_sizes;
  std::vector<std::uint32_t> owners;
  /** Accounts by an index into `nodes`: looked up before the ring. */
  std::map<std::string, std::uint32_t, std::less<>> placed;
  /** Digests on the ring, each with its virtual node. */
  std::vector<std::pair<std::uint64_t, VirtualNode>> points;

  /** The virtual node of a key. */
  VirtualNode find(std::string_view key) const;
  /** The owner of a key, as an index into `nodes`. */
  std::uint32_t owner_of(std::string_view key) const;
  std::uint32_t owner_of(const RingUnit& unit) const {
    return unit.is_account() ? owner_of(unit.account) : owners[unit.virtual_node];
  }
  const RingNode& owner(VirtualNode virtual_node) const {
    return nodes[owners[virtual_node]];
  }
  /** Index of a node by its name; `nodes.size()`: there is none. */
  std::size_t index_of(const std::string& node) const;
  RingSize size_of(VirtualNode virtual_node) const;
  RingSize size_of(const RingUnit& unit) const;
  /** What all that a node owns takes. */
  RingSize used_of(std::size_t node) const;
  /**
   * The part of a path that is the key.
   * @param path may have a query.
   * @param path_start the route's prefix.
   * @param key is set where there is one; it points into `path`.
   * @return false: the path has none.
   */
  bool key_of(std::string_view path, std::string_view path_start, std::string_view& key) const;
};

/**
 * Reads the operator's YAML file and gives each virtual node an owner.
 * @param ring is set only where there is no error.
 * @return an error whose step names the node and the field.
 */
Error read_ring(const std::string& text, RingMap& ring);

/** What the registries agree on: the file, and who owns otherwise than it says. */
struct RingDocument {
  /** Rises with every change. */
  std::uint64_t revision = 0;
  /** The operator's file, byte for byte. */
  std::string file;
  /** Owners of virtual nodes that migrations changed, by name. */
  std::map<VirtualNode, std::string> moved;
  /** Migrations under way: see coordination/placement/shard_migration.h. */
  std::string moves;
  /** Accounts that live elsewhere than the ring has them, by the name of their owner. */
  std::map<std::string, std::string> placed;
};

/** Name of the replicated document. */
inline constexpr const char* ring_document = "ring";

std::string encode_ring(const RingDocument& document);

/** False: damaged, or of a later format; `document` is then unspecified. */
bool decode_ring(const std::string& bytes, RingDocument& document);

/** The ring in force by a document; owners that are no nodes any more fall back to what the file
    says. */
Error ring_of(const RingDocument& document, RingMap& ring);

}  // namespace saddlewing
