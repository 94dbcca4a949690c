#include "state/configuration.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "state/startup.h"

namespace saddlewing {
namespace {

std::string lower(std::string text) {
  for (char& letter : text)
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter - 'A' + 'a');
  return text;
}

// Reads fields of one object; the first fault stays.
struct Fields {
  const Json::Value& value;
  std::string place;
  std::string& first;

  void fail(const std::string& what) const {
    if (first.empty())
      first = place + what;
  }
  std::string text(const char* name, bool is_required = true) const {
    if (!value.isMember(name)) {
      if (is_required)
        fail(std::string(name) + " is missing");
      return {};
    }
    if (!value[name].isString() || (is_required && value[name].asString().empty())) {
      fail(std::string(name) + " is not a text");
      return {};
    }
    return value[name].asString();
  }
  std::int64_t whole(const char* name, std::int64_t least, std::int64_t most,
                     std::int64_t otherwise, bool is_required) const {
    if (!value.isMember(name)) {
      if (is_required)
        fail(std::string(name) + " is missing");
      return otherwise;
    }
    const Json::Value& number = value[name];
    if (!number.isInt64() || number.isBool()) {
      fail(std::string(name) + " is not a whole number");
      return otherwise;
    }
    if (number.asInt64() < least || number.asInt64() > most) {
      fail(std::string(name) + " is out of range");
      return otherwise;
    }
    return number.asInt64();
  }
};

using Names = std::unordered_map<std::string, std::uint32_t>;

bool find_service(const Names& names, const Json::Value& name, const Fields& fields,
                  const char* field, ServiceIndex& index) {
  if (!name.isString())
    return fields.fail(std::string(field) + " is not a text"), false;
  const auto found = names.find(name.asString());
  if (found == names.end())
    return fields.fail(std::string(field) + " names an unknown service"), false;
  index.value = found->second;
  return true;
}

void read_targets(const Json::Value& value, const Names& names, const Fields& fields, Rule& rule) {
  const int given = int(value.isMember("service")) + int(value.isMember("shares")) +
                    int(value.isMember("ask_all"));
  if (given != 1)
    return fields.fail("needs exactly one of service, shares, ask_all");
  ServiceIndex index;
  if (value.isMember("service")) {
    if (find_service(names, value["service"], fields, "service", index))
      rule.shares.push_back({index, 1});
    rule.weight_sum = 1;
  } else if (value.isMember("shares")) {
    if (!value["shares"].isArray())
      return fields.fail("shares is not a list");
    for (const Json::Value& share : value["shares"]) {
      if (!share.isObject())
        return fields.fail("shares holds what is not an object");
      const Fields inner{share, fields.place + "shares ", fields.first};
      if (!find_service(names, share["service"], inner, "service", index))
        return;
      const Json::Value& weight = share["weight"];
      if (!weight.isNumeric() || weight.isBool() || !(weight.asDouble() >= 0) ||
          weight.asDouble() > 1e9)
        return inner.fail("weight is missing or out of range");
      rule.shares.push_back({index, weight.asDouble()});
      rule.weight_sum += weight.asDouble();
    }
    if (!(rule.weight_sum > 0))
      fields.fail("shares has weights that sum to 0");
  } else {
    const Json::Value& shards = value["ask_all"];
    if (!shards.isArray() || shards.empty())
      return fields.fail("ask_all is not a list of services");
    std::set<std::uint32_t> seen;
    for (const Json::Value& shard : shards) {
      if (!find_service(names, shard, fields, "ask_all", index))
        return;
      if (!seen.insert(index.value).second)
        return fields.fail("ask_all names a service twice");
      rule.shards.push_back(index);
    }
    rule.best_count = static_cast<int>(fields.whole("best_count", 1, 10000000, 1, true));
    if (!value.isMember("fewest_parts") || !value["fewest_parts"].isNumeric() ||
        value["fewest_parts"].isBool())
      return fields.fail("fewest_parts is not a number");
    rule.fewest_parts = value["fewest_parts"].asDouble();
    if (!(rule.fewest_parts > 0) || rule.fewest_parts > 1)
      fields.fail("fewest_parts is out of range");
    if (!rule.is_harmless)
      fields.fail("ask_all needs the sort harmless");
  }
}

Rule read_rule(const Json::Value& value, const Names& names, const Fields& fields) {
  Rule rule;
  rule.name = fields.text("name", false);
  rule.host = lower(fields.text("host"));
  rule.path_start = fields.text("path_start");
  if (rule.path_start.size() < 1 || rule.path_start.front() != '/' || rule.path_start.back() != '/')
    fields.fail("path_start does not start and end with a slash");
  const std::string sort = fields.text("sort");
  rule.is_harmless = sort == "harmless";
  if (sort == "leader")
    rule.sight = Sight::leader;
  else if (sort == "bounded")
    rule.sight = Sight::bounded;
  else if (sort == "own_writes")
    rule.sight = Sight::own_writes;
  else if (sort != "harmless" && sort != "risky")
    fields.fail("sort is none of harmless, risky, leader, bounded, own_writes");
  if (rule.sight == Sight::bounded || value.isMember("read_age_ms"))
    rule.read_age = Span(fields.whole("read_age_ms", 1, 86400000, 1, true));
  if (rule.sight != Sight::none && !value.isMember("service"))
    fields.fail("a database needs one service");
  rule.give_up = Span(fields.whole("give_up_ms", 1, 86400000, 1, true));
  rule.target = Span(fields.whole("target_ms", 1, 86400000, rule.give_up.count(), false));
  rule.rank = static_cast<int>(fields.whole("rank", 0, 1000, 0, false));
  rule.tries = static_cast<int>(fields.whole("tries", 1, 1000, 1, false));
  read_targets(value, names, fields, rule);
  return rule;
}

}  // namespace

const Rule* Configuration::match(std::string_view host, std::string_view path) const {
  std::string name = lower(std::string(host));
  if (const auto colon = name.rfind(':'); colon != std::string::npos)
    name.resize(colon);
  const auto found = by_host.find(name);
  if (found == by_host.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (std::uint32_t index : found->second)
    if (path.starts_with(rules[index].path_start))
      return &rules[index];
  return nullptr;
}

const Rule* Configuration::match_database(const std::string& name) const {
  const auto found = by_host.find(lower(name));
  if (found == by_host.end())
    return nullptr;
  for (const std::uint32_t index : found->second)
    if (rules[index].sight != Sight::none)
      return &rules[index];
  return nullptr;
}

Fault read_configuration(const std::string& body, ConfigurationSnapshot& snapshot) {
  Json::Value root;
  std::string reason, first;
  if (!read_json(body, root, reason))
    return fault(Kind::invalid, "configuration is not proper JSON");
  if (!root.isObject())
    return fault(Kind::invalid, "configuration is not an object");
  auto read = std::make_shared<Configuration>();
  const Fields top{root, "", first};
  read->version.value = top.whole("version", 1, INT64_MAX, 0, true);
  if (!root["services"].isArray())
    top.fail("services is not a list");
  if (!root["routes"].isArray())
    top.fail("routes is not a list");
  if (!first.empty())
    return fault(Kind::invalid, first);
  Names names;
  for (const Json::Value& value : root["services"]) {
    const Fields fields{value, "services[" + std::to_string(read->services.size()) + "].", first};
    if (!value.isObject())
      return fault(Kind::invalid, fields.place + " is not an object");
    Service service{fields.text("name"), fields.text("health_path", false),
                    static_cast<int>(fields.whole("most_connections", 1, 1000000, 64, false)),
                    static_cast<int>(fields.whole("sync", 0, 1000, 0, false))};
    if (service.health_path.empty())
      service.health_path = "/";
    if (service.health_path.front() != '/' ||
        service.health_path.find_first_of(" \r\n\t") != std::string::npos)
      fields.fail("health_path is not a path");
    if (value.isMember("protocol") && value["protocol"] != "h1")
      fields.fail("protocol is not h1");
    if (value.isMember("encrypted") && value["encrypted"] != false)
      fields.fail("encrypted is not false");
    if (!names.emplace(service.name, read->services.size()).second)
      fields.fail("name appears twice");
    read->services.push_back(std::move(service));
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Json::Value& value : root["routes"]) {
    const Fields fields{value, "routes[" + std::to_string(read->rules.size()) + "].", first};
    if (!value.isObject())
      return fault(Kind::invalid, fields.place + " is not an object");
    Rule rule = read_rule(value, names, fields);
    if (!places.emplace(rule.host, rule.path_start).second)
      fields.fail("has the host and path_start of another");
    read->by_host[rule.host].push_back(static_cast<std::uint32_t>(read->rules.size()));
    read->rules.push_back(std::move(rule));
  }
  if (root.isMember("limits")) {
    if (!root["limits"].isObject()) {
      top.fail("limits is not an object");
    } else {
      const Fields fields{root["limits"], "limits.", first};
      Limits& limits = read->limits;
      limits.most_header_bytes =
          fields.whole("most_header_bytes", 256, 1 << 24, limits.most_header_bytes, false);
      limits.most_body_bytes =
          fields.whole("most_body_bytes", 0, 1 << 28, limits.most_body_bytes, false);
      limits.header_wait =
          Span(fields.whole("header_wait_ms", 1, 86400000, limits.header_wait.count(), false));
      limits.change_rest =
          Span(fields.whole("change_rest_ms", 1, 86400000, limits.change_rest.count(), false));
      limits.quiet = Span(fields.whole("quiet_ms", 1, 86400000, limits.quiet.count(), false));
    }
  }
  if (!first.empty())
    return fault(Kind::invalid, first);
  for (auto& [host, indices] : read->by_host)
    std::sort(indices.begin(), indices.end(),
              [&rules = read->rules](std::uint32_t left, std::uint32_t right) {
                return rules[left].path_start.size() > rules[right].path_start.size();
              });
  read->body = body;
  snapshot = std::move(read);
  return {};
}

}  // namespace saddlewing
