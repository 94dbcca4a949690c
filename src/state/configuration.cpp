#include "state/configuration.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "state/json_document.h"

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
  std::string position;
  std::string& first;

  void fail(const std::string& what) const {
    if (first.empty())
      first = position + what;
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
  std::int64_t whole(const char* name, std::int64_t minimum, std::int64_t limit,
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
    if (number.asInt64() < minimum || number.asInt64() > limit) {
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

void read_targets(const Json::Value& value, const Names& names, const Fields& fields,
                  Route& route) {
  const int given = int(value.isMember("service")) + int(value.isMember("shares")) +
                    int(value.isMember("ask_all"));
  if (given != 1)
    return fields.fail("needs exactly one of service, shares, ask_all");
  ServiceIndex index;
  if (value.isMember("service")) {
    if (find_service(names, value["service"], fields, "service", index))
      route.shares.push_back({index, 1});
    route.weight_sum = 1;
  } else if (value.isMember("shares")) {
    if (!value["shares"].isArray())
      return fields.fail("shares is not a list");
    for (const Json::Value& share : value["shares"]) {
      if (!share.isObject())
        return fields.fail("shares holds what is not an object");
      const Fields inner{share, fields.position + "shares ", fields.first};
      if (!find_service(names, share["service"], inner, "service", index))
        return;
      const Json::Value& weight = share["weight"];
      if (!weight.isNumeric() || weight.isBool() || !(weight.asDouble() >= 0) ||
          weight.asDouble() > 1e9)
        return inner.fail("weight is missing or out of range");
      route.shares.push_back({index, weight.asDouble()});
      route.weight_sum += weight.asDouble();
    }
    if (!(route.weight_sum > 0))
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
      route.shards.push_back(index);
    }
    route.best_count = static_cast<int>(fields.whole("best_count", 1, 10000000, 1, true));
    if (!value.isMember("fewest_parts") || !value["fewest_parts"].isNumeric() ||
        value["fewest_parts"].isBool())
      return fields.fail("fewest_parts is not a number");
    route.min_parts_share = value["fewest_parts"].asDouble();
    if (!(route.min_parts_share > 0) || route.min_parts_share > 1)
      fields.fail("fewest_parts is out of range");
    if (!route.is_harmless)
      fields.fail("ask_all needs the sort harmless");
  }
}

Route read_route(const Json::Value& value, const Names& names, const Fields& fields) {
  Route route;
  route.name = fields.text("name", false);
  route.host = lower(fields.text("host"));
  route.path_start = fields.text("path_start");
  if (route.path_start.size() < 1 || route.path_start.front() != '/' ||
      route.path_start.back() != '/')
    fields.fail("path_start does not start and end with a slash");
  const std::string sort = fields.text("sort");
  route.is_harmless = sort == "harmless";
  if (sort == "leader")
    route.read_consistency = ReadConsistency::leader;
  else if (sort == "bounded")
    route.read_consistency = ReadConsistency::bounded;
  else if (sort == "own_writes")
    route.read_consistency = ReadConsistency::own_writes;
  else if (sort != "harmless" && sort != "risky")
    fields.fail("sort is none of harmless, risky, leader, bounded, own_writes");
  if (route.read_consistency == ReadConsistency::bounded || value.isMember("read_age_ms"))
    route.read_age = Duration(fields.whole("read_age_ms", 1, 86400000, 1, true));
  if (route.read_consistency != ReadConsistency::none && !value.isMember("service"))
    fields.fail("a database needs one service");
  route.give_up = Duration(fields.whole("give_up_ms", 1, 86400000, 1, true));
  route.target = Duration(fields.whole("target_ms", 1, 86400000, route.give_up.count(), false));
  route.rank = static_cast<int>(fields.whole("rank", 0, 1000, 0, false));
  route.tries = static_cast<int>(fields.whole("tries", 1, 1000, 1, false));
  read_targets(value, names, fields, route);
  return route;
}

}  // namespace

const Route* Configuration::match(std::string_view host, std::string_view path) const {
  std::string name = lower(std::string(host));
  if (const auto colon = name.rfind(':'); colon != std::string::npos)
    name.resize(colon);
  const auto found = by_host.find(name);
  if (found == by_host.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (std::uint32_t index : found->second)
    if (path.starts_with(routes[index].path_start))
      return &routes[index];
  return nullptr;
}

const Route* Configuration::match_database(const std::string& name) const {
  const auto found = by_host.find(lower(name));
  if (found == by_host.end())
    return nullptr;
  for (const std::uint32_t index : found->second)
    if (routes[index].read_consistency != ReadConsistency::none)
      return &routes[index];
  return nullptr;
}

Error read_configuration(const std::string& body, ConfigurationSnapshot& snapshot) {
  Json::Value root;
  std::string reason, first;
  if (!read_json(body, root, reason))
    return make_error(ErrorCode::invalid, "configuration is not proper JSON");
  if (!root.isObject())
    return make_error(ErrorCode::invalid, "configuration is not an object");
  auto read = std::make_shared<Configuration>();
  const Fields top{root, "", first};
  read->version.value = top.whole("version", 1, INT64_MAX, 0, true);
  if (!root["services"].isArray())
    top.fail("services is not a list");
  if (!root["routes"].isArray())
    top.fail("routes is not a list");
  if (!first.empty())
    return make_error(ErrorCode::invalid, first);
  Names names;
  for (const Json::Value& value : root["services"]) {
    const Fields fields{value, "services[" + std::to_string(read->services.size()) + "].", first};
    if (!value.isObject())
      return make_error(ErrorCode::invalid, fields.position + " is not an object");
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
  std::set<std::pair<std::string, std::string>> positions;
  for (const Json::Value& value : root["routes"]) {
    const Fields fields{value, "routes[" + std::to_string(read->routes.size()) + "].", first};
    if (!value.isObject())
      return make_error(ErrorCode::invalid, fields.position + " is not an object");
    Route route = read_route(value, names, fields);
    if (!positions.emplace(route.host, route.path_start).second)
      fields.fail("has the host and path_start of another");
    read->by_host[route.host].push_back(static_cast<std::uint32_t>(read->routes.size()));
    read->routes.push_back(std::move(route));
  }
  if (root.isMember("limits")) {
    if (!root["limits"].isObject()) {
      top.fail("limits is not an object");
    } else {
      const Fields fields{root["limits"], "limits.", first};
      Limits& limits = read->limits;
      limits.max_header_bytes =
          fields.whole("most_header_bytes", 256, 1 << 24, limits.max_header_bytes, false);
      limits.max_body_bytes =
          fields.whole("most_body_bytes", 0, 1 << 28, limits.max_body_bytes, false);
      limits.header_wait =
          Duration(fields.whole("header_wait_ms", 1, 86400000, limits.header_wait.count(), false));
      limits.change_rest =
          Duration(fields.whole("change_rest_ms", 1, 86400000, limits.change_rest.count(), false));
      limits.quiet = Duration(fields.whole("quiet_ms", 1, 86400000, limits.quiet.count(), false));
    }
  }
  if (!first.empty())
    return make_error(ErrorCode::invalid, first);
  for (auto& [host, indices] : read->by_host)
    std::sort(indices.begin(), indices.end(),
              [&routes = read->routes](std::uint32_t left, std::uint32_t right) {
                return routes[left].path_start.size() > routes[right].path_start.size();
              });
  read->body = body;
  snapshot = std::move(read);
  return {};
}

}  // namespace saddlewing
