#include "registry/ring_json.h"

#include <json/json.h>

#include <cmath>

namespace saddlewing {
namespace {

constexpr std::size_t max_accounts_shown = 20;

std::string write_line(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value to_json(const RingLoad& load) {
  Json::Value value(Json::objectValue);
  value["askings"] = std::round(load.attempts);
  value["busy_ms"] = std::round(load.busy_ms);
  value["bytes"] = std::round(load.bytes);
  return value;
}

Json::Value to_json(const NodeReport& node) {
  Json::Value value = to_json(node.load);
  value["node"] = node.name;
  value["share"] = node.share;
  value["over"] = node.is_over;
  value["memory_mb"] = node.memory_mb;
  value["disk_mb"] = node.disk_mb;
  return value;
}

void add_unit(Json::Value& value, const RingUnit& unit) {
  if (unit.is_account())
    value["account"] = unit.account;
  else
    value["virtual_node"] = unit.virtual_node;
}

Json::Value to_json(const MoveProposal& proposal) {
  Json::Value value = to_json(proposal.load);
  add_unit(value, proposal.unit);
  value["from"] = proposal.from;
  value["to"] = proposal.to;
  value["memory_mb"] = proposal.memory_mb;
  value["disk_mb"] = proposal.disk_mb;
  value["share_from"] = proposal.share_from;
  value["share_to"] = proposal.share_to;
  value["cost"] = proposal.cost;
  return value;
}

void add_virtual_nodes(Json::Value& root, const RingMap& ring, const RingReport& report) {
  for (VirtualNode virtual_node = 0; virtual_node < ring.owners.size(); ++virtual_node) {
    Json::Value value = to_json(report.virtual_nodes[virtual_node]);
    value["virtual_node"] = virtual_node;
    value["node"] = ring.owner(virtual_node).name;
    root["virtual_nodes"].append(value);
  }
}

void add_accounts(Json::Value& root, const RingMap& ring, const RingReport& report) {
  for (const auto& [account, load] : report.accounts) {
    if (root["accounts"].size() >= max_accounts_shown)
      break;
    Json::Value value = to_json(load);
    value["account"] = account;
    value["node"] = ring.nodes[ring.owner_of(account)].name;
    value["placed"] = ring.placed.contains(account);
    root["accounts"].append(value);
  }
}

}  // namespace

std::string ring_report_json(const RingMap& ring, std::uint64_t revision, const RingReport& report,
                             const std::vector<std::string>& missing_brokers, bool with_proposals) {
  Json::Value root(Json::objectValue);
  root["edition"] = Json::Int64(ring.version.value);
  root["mark"] = Json::UInt64(revision);
  root["balanced"] = report.is_balanced();
  root["enough"] = report.is_enough;
  for (const NodeReport& node : report.nodes)
    root["nodes"].append(to_json(node));
  add_virtual_nodes(root, ring, report);
  add_accounts(root, ring, report);
  for (const std::string& address : missing_brokers)
    root["missing"].append(address);
  if (with_proposals)
    for (const MoveProposal& proposal : report.proposals)
      root["proposals"].append(to_json(proposal));
  for (const std::string& remark : report.remarks)
    root["remarks"].append(remark);
  return write_line(root);
}

std::string ring_moves_json(const ShardMigration& migration, std::size_t placed_accounts) {
  Json::Value root(Json::objectValue);
  root["paused"] = migration.is_paused();
  root["placed"] = Json::UInt64(placed_accounts);
  for (const RingMove& move : migration.moves()) {
    Json::Value value(Json::objectValue);
    value["move"] = Json::UInt64(move.id);
    add_unit(value, move.unit);
    value["from"] = move.from;
    value["to"] = move.to;
    value["step"] = name_of(move.step);
    value["copied"] = migration.progress(move.id);
    value["benefit"] = move.benefit;
    value["why"] = migration.why(move.id);
    root["moves"].append(value);
  }
  return write_line(root);
}

std::string node_order_json(const ShardMigration::Order& order, const std::string& other_address) {
  Json::Value value(Json::objectValue);
  value["interface"] = node_interface;
  value["move"] = Json::UInt64(order.move);
  value["mark"] = Json::UInt64(order.revision);
  value["what"] = order.what;
  add_unit(value, order.unit);
  if (order.what == "finish")
    value["position"] = Json::UInt64(order.position);
  value["mb_per_s"] = order.mb_s;
  value["placed"] = order.is_placed;
  value["other"] = other_address;
  return write_line(value);
}

}  // namespace saddlewing
