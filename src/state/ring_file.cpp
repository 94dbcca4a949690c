// Reads and checks the operator's ring file: read_ring of state/hash_ring.h.
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "state/hash_ring.h"
#include "state/ring_digest.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_nodes = 1000;
constexpr std::size_t max_accounts = 4096;  // with a size of their own
constexpr double max_virtual_nodes = 65536;
constexpr double max_memory_mb = 1e9;
constexpr double max_disk_mb = 1e12;
constexpr double max_mb_s = 1e6;
constexpr double max_version = 9e15;
constexpr double two_to_53 = 9007199254740992.0;

/** Which node the file itself gives a virtual node to: weighted rendezvous, so that a node more or
// less moves least. */
std::uint32_t choose_owner(const std::vector<RingNode>& nodes, VirtualNode virtual_node) {
  std::uint32_t best = 0;
  double best_score = -1;
  for (std::uint32_t index = 0; index < nodes.size(); ++index) {
    const std::uint64_t digest = ring_digest(nodes[index].name, virtual_node + 1);
    const double drawn = (static_cast<double>(digest >> 11) + 0.5) / two_to_53;  // in 0 to 1
    const double score = nodes[index].weight / -std::log(drawn);
    if (score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

/** Reads the fields of one map; the first fault stays. */
struct YamlFields {
  const YAML::Node& node;
  /** Where the map stands in the file; a fault begins with it. */
  std::string position;
  std::string& fault;

  void fail(const std::string& what) const {
    if (fault.empty())
      fault = position + what;
  }

  std::string text(const char* name) const {
    if (node[name] && node[name].IsScalar() && !node[name].Scalar().empty())
      return node[name].Scalar();
    fail(std::string(name) + " is missing or not a text");
    return {};
  }

  double required_number(const char* name, double minimum, double limit) const {
    if (!node[name])
      fail(std::string(name) + " is missing");
    return number(name, minimum, limit, 0);
  }

  double number(const char* name, double minimum, double limit, double otherwise) const {
    if (!node[name])
      return otherwise;
    double value = 0;
    if (!node[name].IsScalar() || !YAML::convert<double>::decode(node[name], value) ||
        !std::isfinite(value)) {
      fail(std::string(name) + " is not a number");
      return otherwise;
    }
    if (value < minimum || value > limit) {
      fail(std::string(name) + " is out of range");
      return otherwise;
    }
    return value;
  }

  RingSize size(const RingSize& otherwise) const {
    RingSize read;
    read.memory_mb = number("memory_mb", 0, max_memory_mb, otherwise.memory_mb);
    read.disk_mb = number("disk_mb", 0, max_disk_mb, otherwise.disk_mb);
    return read;
  }
};

/** Reads one file. Parts are read in a fixed order, since only the first fault is reported. */
class RingFileReader {
 public:
  explicit RingFileReader(const YAML::Node& root) : root_(root) {
  }

  Error read() {
    if (!root_.IsMap())
      return make_error(ErrorCode::invalid, "the ring file is not a map");
    read_head();
    if (!fault_.empty())
      return make_error(ErrorCode::invalid, fault_);
    if (Error error = read_nodes())
      return error;
    read_sizes();
    read_accounts();
    if (!fault_.empty())
      return make_error(ErrorCode::invalid, fault_);
    place_virtual_nodes();
    return {};
  }

  RingMap take() {
    return std::move(ring_);
  }

 private:
  void read_head() {
    const YamlFields top{root_, "", fault_};
    ring_.version.value = static_cast<std::int64_t>(top.required_number("edition", 1, max_version));
    ring_.route = top.text("rule");
    ring_.key_part = static_cast<std::size_t>(top.number("key_part", 0, 32, 0));
    virtual_nodes_ =
        static_cast<VirtualNode>(top.number("virtual_nodes", 1, max_virtual_nodes, 128));
    RingSize& node_size = ring_.virtual_node_size;
    node_size.memory_mb =
        top.number("virtual_node_memory_mb", 0, max_memory_mb, node_size.memory_mb);
    node_size.disk_mb = top.number("virtual_node_disk_mb", 0, max_disk_mb, node_size.disk_mb);
    RingSize& account_size = ring_.account_size;
    account_size.memory_mb =
        top.number("account_memory_mb", 0, max_memory_mb, account_size.memory_mb);
    account_size.disk_mb = top.number("account_disk_mb", 0, max_disk_mb, account_size.disk_mb);
    if (!root_["nodes"] || !root_["nodes"].IsSequence() || root_["nodes"].size() == 0)
      top.fail("nodes is not a list");
  }

  Error read_nodes() {
    if (root_["nodes"].size() > max_nodes)
      return make_error(ErrorCode::invalid, "nodes are too many");
    std::set<std::string> names;
    for (const YAML::Node& value : root_["nodes"]) {
      const std::string position = "nodes[" + std::to_string(ring_.nodes.size()) + "]";
      if (!value.IsMap())
        return make_error(ErrorCode::invalid, position + " is not a map");
      const YAML::Node name = value["name"];
      const std::string shown = name && name.IsScalar() ? name.Scalar() : "";
      const YamlFields fields{value, std::string(position).append(" ").append(shown).append(": "),
                              fault_};
      RingNode node = read_node(fields);
      if (!names.insert(node.name).second)
        fields.fail("name appears twice");
      ring_.nodes.push_back(std::move(node));
    }
    return {};
  }

  static RingNode read_node(const YamlFields& fields) {
    const YAML::Node& value = fields.node;
    const bool has_old_name = value["locality"] && !value["zone"];  // as files of before name it
    RingNode node;
    node.name = fields.text("name");
    node.zone = fields.text(has_old_name ? "locality" : "zone");
    if (value["region"])
      node.region = fields.text("region");
    node.weight = fields.number("weight", 0.001, 1000, 1);
    node.memory_mb = fields.required_number("memory_mb", 1, max_memory_mb);
    node.disk_mb = fields.required_number("disk_mb", 1, max_disk_mb);
    node.disk_mb_s = fields.number("disk_mb_per_s", 0.001, max_mb_s, 100);
    node.link_mb_s = fields.number("link_mb_per_s", 0.001, max_mb_s, 100);
    return node;
  }

  void read_sizes() {
    const YAML::Node sizes = root_["sizes"];
    if (!sizes)
      return;
    if (!sizes.IsMap())
      return YamlFields{root_, "", fault_}.fail("sizes is not a map");
    for (const auto& item : sizes) {
      const std::string name = item.first.IsScalar() ? item.first.Scalar() : "?";
      const YamlFields fields{item.second, "sizes " + name + ": ", fault_};
      VirtualNode virtual_node = 0;
      const bool is_number = YAML::convert<VirtualNode>::decode(item.first, virtual_node);
      if (!is_number || virtual_node >= virtual_nodes_)
        fields.fail("there is no such virtual node");
      else if (!item.second.IsMap())
        fields.fail("is not a map");
      else
        ring_.sizes[virtual_node] = fields.size(ring_.virtual_node_size);
    }
  }

  void read_accounts() {
    const YAML::Node accounts = root_["accounts"];
    if (!accounts)
      return;
    if (!accounts.IsMap() || accounts.size() > max_accounts)
      return YamlFields{root_, "", fault_}.fail("accounts is not a map, or too long");
    for (const auto& item : accounts) {
      const std::string name = item.first.IsScalar() ? item.first.Scalar() : "";
      const YamlFields fields{item.second, "accounts " + name + ": ", fault_};
      if (!is_account_form(name))
        fields.fail("is no account");
      else if (!item.second.IsMap())
        fields.fail("is not a map");
      else
        ring_.account_sizes[name] = fields.size(ring_.account_size);
    }
  }

  void place_virtual_nodes() {
    for (VirtualNode virtual_node = 0; virtual_node < virtual_nodes_; ++virtual_node) {
      const std::uint64_t point = ring_digest("virtual node " + std::to_string(virtual_node));
      ring_.owners.push_back(choose_owner(ring_.nodes, virtual_node));
      ring_.points.emplace_back(point, virtual_node);
    }
    std::sort(ring_.points.begin(), ring_.points.end());
  }

  const YAML::Node root_;
  RingMap ring_;
  VirtualNode virtual_nodes_ = 0;
  std::string fault_;
};

}  // namespace

Error read_ring(const std::string& text, RingMap& ring) {
  try {
    RingFileReader reader(YAML::Load(text));
    if (Error error = reader.read())
      return error;
    ring = reader.take();
    return {};
  } catch (const std::exception& thrown) {  // the library throws on what is no YAML
    return make_error(ErrorCode::invalid, "the ring file is not proper YAML");
  }
}

}  // namespace saddlewing
