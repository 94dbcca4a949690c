#include "state/hash_ring.h"

#include <algorithm>

#include "state/ring_digest.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_account_bytes = 128;
constexpr std::string_view account_marks = "-._~%!$&'()*+,;=:@";  // besides letters and digits

}  // namespace

VirtualNode RingMap::find(std::string_view key) const {
  const auto position =
      std::lower_bound(points.begin(), points.end(), std::pair(ring_digest(key), VirtualNode{0}));
  return position == points.end() ? points.front().second : position->second;
}

bool is_account_form(std::string_view text) {
  if (text.empty() || text.size() > max_account_bytes)
    return false;
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') || account_marks.find(letter) != std::string_view::npos;
  });
}

std::uint32_t RingMap::owner_of(std::string_view key) const {
  if (const auto found = placed.find(key); found != placed.end())
    return found->second;
  return owners[find(key)];
}

std::size_t RingMap::index_of(const std::string& node) const {
  const auto found = std::find_if(nodes.begin(), nodes.end(),
                                  [&](const RingNode& one) { return one.name == node; });
  return static_cast<std::size_t>(found - nodes.begin());
}

RingSize RingMap::size_of(VirtualNode virtual_node) const {
  const auto found = sizes.find(virtual_node);
  return found == sizes.end() ? virtual_node_size : found->second;
}

RingSize RingMap::size_of(const RingUnit& unit) const {
  if (!unit.is_account())
    return size_of(unit.virtual_node);
  const auto found = account_sizes.find(unit.account);
  return found == account_sizes.end() ? account_size : found->second;
}

RingSize RingMap::used_of(std::size_t node) const {
  RingSize used;
  const auto add = [&](const RingSize& size) {
    used.memory_mb += size.memory_mb;
    used.disk_mb += size.disk_mb;
  };
  for (VirtualNode virtual_node = 0; virtual_node < owners.size(); ++virtual_node)
    if (owners[virtual_node] == node)
      add(size_of(virtual_node));
  for (const auto& [account, owner] : placed)
    if (owner == node)
      add(size_of(RingUnit{0, account}));
  return used;
}

bool RingMap::key_of(std::string_view path, std::string_view path_start,
                     std::string_view& key) const {
  path = path.substr(0, path.find('?'));
  if (!path.starts_with(path_start))
    return false;
  path.remove_prefix(path_start.size());
  for (std::size_t part = 0; part < key_part; ++part) {
    const auto slash = path.find('/');
    if (slash == std::string_view::npos)
      return false;
    path.remove_prefix(slash + 1);
  }
  key = path.substr(0, path.find('/'));
  return !key.empty();
}

}  // namespace saddlewing
