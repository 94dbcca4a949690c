#include "state/hash_ring.h"

#include <xxhash.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "state/bytes.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_nodes = 1000, max_virtual = 65536, max_sized = 4096;
constexpr std::uint64_t ring_document_format =
    2;  // of a sheet that knows accounts; those before it end with the moves

std::uint64_t digest(std::string_view text, std::uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

// Which node the file itself gives a virtual node to: weighted rendezvous, so that a node more or
// less moves least.
std::uint32_t choose_owner(const std::vector<RingNode>& nodes, VirtualNode virtual_node) {
  std::uint32_t best = 0;
  double best_score = -1;
  for (std::uint32_t index = 0; index < nodes.size(); ++index) {
    const double drawn =
        (static_cast<double>(digest(nodes[index].name, virtual_node + 1) >> 11) + 0.5) /
        9007199254740992.0;
    const double score = nodes[index].weight / -std::log(drawn);
    if (score > best_score)
      best = index, best_score = score;
  }
  return best;
}

// Reads fields of one map; the first fault stays.
struct YamlFields {
  const YAML::Node& node;
  std::string position;
  std::string& first;
  void fail(const std::string& what) const {
    if (first.empty())
      first = position + what;
  }
  std::string text(const char* name) const {
    if (node[name] && node[name].IsScalar() && !node[name].Scalar().empty())
      return node[name].Scalar();
    fail(std::string(name) + " is missing or not a text");
    return {};
  }
  double number(const char* name, double minimum, double limit, double otherwise,
                bool is_required) const {
    if (!node[name]) {
      if (is_required)
        fail(std::string(name) + " is missing");
      return otherwise;
    }
    double value = 0;
    if (!node[name].IsScalar() || !YAML::convert<double>::decode(node[name], value) ||
        !std::isfinite(value))
      return fail(std::string(name) + " is not a number"), otherwise;
    if (value < minimum || value > limit)
      return fail(std::string(name) + " is out of range"), otherwise;
    return value;
  }
};

Error read_root(const YAML::Node& root, RingMap& read) {
  std::string first;
  if (!root.IsMap())
    return make_error(ErrorCode::invalid, "the ring file is not a map");
  const YamlFields top{root, "", first};
  read.version.value = static_cast<std::int64_t>(top.number("edition", 1, 9e15, 0, true));
  read.route = top.text("rule");
  read.key_part = static_cast<std::size_t>(top.number("key_part", 0, 32, 0, false));
  const auto count = static_cast<std::size_t>(
      top.number("virtual_nodes", 1, static_cast<double>(max_virtual), 128, false));
  read.memory_mb = top.number("virtual_node_memory_mb", 0, 1e9, read.memory_mb, false);
  read.disk_mb = top.number("virtual_node_disk_mb", 0, 1e12, read.disk_mb, false);
  read.account_memory_mb = top.number("account_memory_mb", 0, 1e9, read.account_memory_mb, false);
  read.account_disk_mb = top.number("account_disk_mb", 0, 1e12, read.account_disk_mb, false);
  if (!root["nodes"] || !root["nodes"].IsSequence() || root["nodes"].size() == 0)
    top.fail("nodes is not a list");
  if (!first.empty())
    return make_error(ErrorCode::invalid, first);
  if (root["nodes"].size() > max_nodes)
    return make_error(ErrorCode::invalid, "nodes are too many");
  std::set<std::string> names;
  for (const YAML::Node& value : root["nodes"]) {
    if (!value.IsMap())
      return make_error(ErrorCode::invalid,
                        "nodes[" + std::to_string(read.nodes.size()) + "] is not a map");
    const std::string name =
        value["name"] && value["name"].IsScalar() ? value["name"].Scalar() : "";
    const YamlFields fields{
        value, "nodes[" + std::to_string(read.nodes.size()) + "] " + name + ": ", first};
    RingNode node;
    node.name = fields.text("name");
    node.zone = fields.text(
        value["locality"] && !value["zone"] ? "locality" : "zone");  // as files of before name it
    if (value["region"])
      node.region = fields.text("region");
    node.weight = fields.number("weight", 0.001, 1000, 1, false);
    node.memory_mb = fields.number("memory_mb", 1, 1e9, 0, true);
    node.disk_mb = fields.number("disk_mb", 1, 1e12, 0, true);
    node.disk_mb_s = fields.number("disk_mb_per_s", 0.001, 1e6, 100, false);
    node.link_mb_s = fields.number("link_mb_per_s", 0.001, 1e6, 100, false);
    if (!names.insert(node.name).second)
      fields.fail("name appears twice");
    read.nodes.push_back(std::move(node));
  }
  if (root["sizes"]) {
    if (!root["sizes"].IsMap())
      top.fail("sizes is not a map");
    else
      for (const auto& item : root["sizes"]) {
        const std::string position =
            "sizes " + (item.first.IsScalar() ? item.first.Scalar() : std::string("?")) + ": ";
        std::uint32_t virtual_node = 0;
        const YamlFields fields{item.second, position, first};
        if (!YAML::convert<std::uint32_t>::decode(item.first, virtual_node) ||
            virtual_node >= count)
          fields.fail("there is no such virtual node");
        else if (!item.second.IsMap())
          fields.fail("is not a map");
        else
          read.sizes[virtual_node] = {fields.number("memory_mb", 0, 1e9, read.memory_mb, false),
                                      fields.number("disk_mb", 0, 1e12, read.disk_mb, false)};
      }
  }
  if (root["accounts"]) {
    if (!root["accounts"].IsMap() || root["accounts"].size() > max_sized)
      top.fail("accounts is not a map, or too long");
    else
      for (const auto& item : root["accounts"]) {
        const std::string name = item.first.IsScalar() ? item.first.Scalar() : std::string();
        const YamlFields fields{item.second, "accounts " + name + ": ", first};
        if (!is_account_form(name))
          fields.fail("is no account");
        else if (!item.second.IsMap())
          fields.fail("is not a map");
        else
          read.account_sizes[name] = {
              fields.number("memory_mb", 0, 1e9, read.account_memory_mb, false),
              fields.number("disk_mb", 0, 1e12, read.account_disk_mb, false)};
      }
  }
  if (!first.empty())
    return make_error(ErrorCode::invalid, first);
  for (VirtualNode virtual_node = 0; virtual_node < count; ++virtual_node) {
    read.owners.push_back(choose_owner(read.nodes, virtual_node));
    read.points.push_back({digest("virtual node " + std::to_string(virtual_node)), virtual_node});
  }
  std::sort(read.points.begin(), read.points.end());
  return {};
}

}  // namespace

VirtualNode RingMap::find(std::string_view key) const {
  const auto position =
      std::lower_bound(points.begin(), points.end(), std::pair(digest(key), VirtualNode{0}));
  return position == points.end() ? points.front().second : position->second;
}

bool is_account_form(std::string_view text) {
  if (text.empty() || text.size() > 128)
    return false;
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           (letter >= '0' && letter <= '9') ||
           std::string_view("-._~%!$&'()*+,;=:@").find(letter) != std::string_view::npos;
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

std::pair<double, double> RingMap::size_of(VirtualNode virtual_node) const {
  const auto found = sizes.find(virtual_node);
  return found == sizes.end() ? std::pair(memory_mb, disk_mb) : found->second;
}

std::pair<double, double> RingMap::size_of(const RingUnit& unit) const {
  if (!unit.is_account())
    return size_of(unit.virtual_node);
  const auto found = account_sizes.find(unit.account);
  return found == account_sizes.end() ? std::pair(account_memory_mb, account_disk_mb)
                                      : found->second;
}

std::pair<double, double> RingMap::used_of(std::size_t node) const {
  std::pair<double, double> used;
  const auto add = [&](const std::pair<double, double>& size) {
    used.first += size.first, used.second += size.second;
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

Error read_ring(const std::string& text, RingMap& ring) {
  try {
    RingMap read;
    if (Error found = read_root(YAML::Load(text), read))
      return found;
    ring = std::move(read);
    return {};
  } catch (const std::exception& thrown) {  // the library throws on what is no YAML
    return make_error(ErrorCode::invalid, "the ring file is not proper YAML");
  }
}

std::string encode_ring(const RingDocument& document) {
  Writer writer;
  writer.number(document.revision).text(document.file).number(document.moved.size());
  for (const auto& [virtual_node, owner] : document.moved)
    writer.number(virtual_node).text(owner);
  writer.text(document.moves).number(ring_document_format).number(document.placed.size());
  for (const auto& [account, owner] : document.placed)
    writer.text(account).text(owner);
  return writer.take();
}

bool decode_ring(const std::string& bytes, RingDocument& document) {
  ByteReader reader(bytes);
  document = {};
  document.revision = reader.number();
  document.file = reader.text();
  for (std::uint64_t left = reader.count(16); left > 0; --left) {
    const auto virtual_node = static_cast<VirtualNode>(reader.number());
    document.moved[virtual_node] = reader.text();
  }
  document.moves = reader.text();
  if (reader.is_complete())
    return true;  // written before accounts moved
  if (reader.number() != ring_document_format)
    return false;
  for (std::uint64_t left = reader.count(16); left > 0; --left) {
    std::string account = reader.text();
    document.placed[std::move(account)] = reader.text();
  }
  return reader.is_complete();
}

Error ring_of(const RingDocument& document, RingMap& ring) {
  if (Error found = read_ring(document.file, ring))
    return found;
  for (const auto& [virtual_node, owner] : document.moved)
    if (const std::size_t index = ring.index_of(owner);
        index < ring.nodes.size() && virtual_node < ring.owners.size())
      ring.owners[virtual_node] = static_cast<std::uint32_t>(index);
  for (const auto& [account, owner] : document.placed)
    if (const std::size_t index = ring.index_of(owner); index < ring.nodes.size())
      ring.placed[account] = static_cast<std::uint32_t>(index);
  return {};
}

}  // namespace saddlewing
