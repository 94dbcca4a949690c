// Reads and checks a configuration document: read_configuration of state/configuration.h.
#include <json/json.h>

#include <algorithm>
#include <set>
#include <utility>

#include "state/configuration.h"
#include "state/json_document.h"
#include "state/lower_case.h"

namespace saddlewing {
namespace {

constexpr std::int64_t max_milliseconds = 86400000;
constexpr double max_weight = 1e9;

/** Reads the fields of one object; the first fault stays. */
struct JsonFields {
  const Json::Value& value;
  /** Where the object stands in the document; a fault begins with it. */
  std::string position;
  std::string& fault;

  void fail(const std::string& what) const {
    if (fault.empty())
      fault = position + what;
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

  std::int64_t required_integer(const char* name, std::int64_t minimum, std::int64_t limit,
                                std::int64_t otherwise) const {
    if (!value.isMember(name)) {
      fail(std::string(name) + " is missing");
      return otherwise;
    }
    return integer(name, minimum, limit, otherwise);
  }

  std::int64_t integer(const char* name, std::int64_t minimum, std::int64_t limit,
                       std::int64_t otherwise) const {
    if (!value.isMember(name))
      return otherwise;
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

  Duration required_milliseconds(const char* name) const {
    return Duration(required_integer(name, 1, max_milliseconds, 1));
  }

  Duration milliseconds(const char* name, Duration otherwise) const {
    return Duration(integer(name, 1, max_milliseconds, otherwise.count()));
  }
};

/** Reads one document. Parts are read in a fixed order, since only the first fault is reported. */
class ConfigurationReader {
 public:
  explicit ConfigurationReader(const Json::Value& root) : root_(root) {
  }

  /** Whether the document has no fault. */
  bool read() {
    if (!read_head() || !read_services() || !read_routes())
      return false;
    read_limits();
    order_routes();
    return fault_.empty();
  }

  /** The first fault. */
  const std::string& fault() const {
    return fault_;
  }

  Configuration take() {
    return std::move(configuration_);
  }

 private:
  bool read_head() {
    const JsonFields top{root_, "", fault_};
    configuration_.version.value = top.required_integer("version", 1, INT64_MAX, 0);
    if (!root_["services"].isArray())
      top.fail("services is not a list");
    if (!root_["routes"].isArray())
      top.fail("routes is not a list");
    return fault_.empty();
  }

  /** False: an item is not even an object, so no more is read. */
  bool read_services() {
    for (const Json::Value& value : root_["services"]) {
      const std::size_t index = configuration_.services.size();
      const JsonFields fields{value, "services[" + std::to_string(index) + "].", fault_};
      if (!is_object(fields))
        return false;
      read_service(fields);
    }
    return true;
  }

  void read_service(const JsonFields& fields) {
    const Json::Value& value = fields.value;
    Service service;
    service.name = fields.text("name");
    service.health_path = fields.text("health_path", false);
    service.max_connections = static_cast<int>(fields.integer("most_connections", 1, 1000000, 64));
    service.sync = static_cast<int>(fields.integer("sync", 0, 1000, 0));
    if (service.health_path.empty())
      service.health_path = "/";
    if (service.health_path.front() != '/' ||
        service.health_path.find_first_of(" \r\n\t") != std::string::npos)
      fields.fail("health_path is not a path");
    if (value.isMember("protocol") && value["protocol"] != "h1")
      fields.fail("protocol is not h1");
    if (value.isMember("encrypted") && value["encrypted"] != false)
      fields.fail("encrypted is not false");
    const auto index = static_cast<std::uint32_t>(configuration_.services.size());
    if (!service_indices_.emplace(service.name, index).second)
      fields.fail("name appears twice");
    configuration_.services.push_back(std::move(service));
  }

  /** False: an item is not even an object, so no more is read. */
  bool read_routes() {
    std::set<std::pair<std::string, std::string>> prefixes;
    for (const Json::Value& value : root_["routes"]) {
      const auto index = static_cast<std::uint32_t>(configuration_.routes.size());
      const JsonFields fields{value, "routes[" + std::to_string(index) + "].", fault_};
      if (!is_object(fields))
        return false;
      Route route = read_route(fields);
      if (!prefixes.emplace(route.host, route.path_start).second)
        fields.fail("has the host and path_start of another");
      configuration_.by_host[route.host].push_back(index);
      configuration_.routes.push_back(std::move(route));
    }
    return true;
  }

  Route read_route(const JsonFields& fields) {
    Route route;
    route.name = fields.text("name", false);
    route.host = lower_case(fields.text("host"));
    route.path_start = fields.text("path_start");
    if (!route.path_start.starts_with('/') || !route.path_start.ends_with('/'))
      fields.fail("path_start does not start and end with a slash");
    read_sort(fields, route);
    const bool is_bounded = route.read_consistency == ReadConsistency::bounded;
    if (is_bounded || fields.value.isMember("read_age_ms"))
      route.read_age = fields.required_milliseconds("read_age_ms");
    if (route.read_consistency != ReadConsistency::none && !fields.value.isMember("service"))
      fields.fail("a database needs one service");
    route.give_up = fields.required_milliseconds("give_up_ms");
    route.target = fields.milliseconds("target_ms", route.give_up);
    route.rank = static_cast<int>(fields.integer("rank", 0, 1000, 0));
    route.tries = static_cast<int>(fields.integer("tries", 1, 1000, 1));
    read_targets(fields, route);
    return route;
  }

  static void read_sort(const JsonFields& fields, Route& route) {
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
  }

  void read_targets(const JsonFields& fields, Route& route) {
    const bool has_service = fields.value.isMember("service");
    const bool has_shares = fields.value.isMember("shares");
    const bool has_shards = fields.value.isMember("ask_all");
    if (int(has_service) + int(has_shares) + int(has_shards) != 1)
      fields.fail("needs exactly one of service, shares, ask_all");
    else if (has_service)
      read_one_service(fields, route);
    else if (has_shares)
      read_shares(fields, route);
    else
      read_shards(fields, route);
  }

  void read_one_service(const JsonFields& fields, Route& route) {
    ServiceIndex index;
    if (find_service(fields.value["service"], fields, "service", index))
      route.shares.push_back({index, 1});
    route.weight_sum = 1;
  }

  void read_shares(const JsonFields& fields, Route& route) {
    const Json::Value& shares = fields.value["shares"];
    if (!shares.isArray())
      return fields.fail("shares is not a list");
    for (const Json::Value& value : shares) {
      if (!value.isObject())
        return fields.fail("shares holds what is not an object");
      const JsonFields share{value, fields.position + "shares ", fault_};
      ServiceIndex index;
      if (!find_service(value["service"], share, "service", index))
        return;
      const Json::Value& weight = value["weight"];
      if (!weight.isNumeric() || weight.isBool() || !(weight.asDouble() >= 0) ||
          weight.asDouble() > max_weight)
        return share.fail("weight is missing or out of range");
      route.shares.push_back({index, weight.asDouble()});
      route.weight_sum += weight.asDouble();
    }
    if (!(route.weight_sum > 0))
      fields.fail("shares has weights that sum to 0");
  }

  void read_shards(const JsonFields& fields, Route& route) {
    const Json::Value& shards = fields.value["ask_all"];
    if (!shards.isArray() || shards.empty())
      return fields.fail("ask_all is not a list of services");
    std::set<std::uint32_t> seen;
    for (const Json::Value& shard : shards) {
      ServiceIndex index;
      if (!find_service(shard, fields, "ask_all", index))
        return;
      if (!seen.insert(index.value).second)
        return fields.fail("ask_all names a service twice");
      route.shards.push_back(index);
    }
    route.best_count = static_cast<int>(fields.required_integer("best_count", 1, 10000000, 1));
    const Json::Value& share = fields.value["fewest_parts"];
    if (!share.isNumeric() || share.isBool())
      return fields.fail("fewest_parts is not a number");
    route.min_parts_share = share.asDouble();
    if (!(route.min_parts_share > 0) || route.min_parts_share > 1)
      fields.fail("fewest_parts is out of range");
    if (!route.is_harmless)
      fields.fail("ask_all needs the sort harmless");
  }

  bool find_service(const Json::Value& name, const JsonFields& fields, const char* field,
                    ServiceIndex& index) const {
    if (!name.isString()) {
      fields.fail(std::string(field) + " is not a text");
      return false;
    }
    const auto found = service_indices_.find(name.asString());
    if (found == service_indices_.end()) {
      fields.fail(std::string(field) + " names an unknown service");
      return false;
    }
    index.value = found->second;
    return true;
  }

  void read_limits() {
    if (!root_.isMember("limits"))
      return;
    if (!root_["limits"].isObject())
      return JsonFields{root_, "", fault_}.fail("limits is not an object");
    const JsonFields fields{root_["limits"], "limits.", fault_};
    Limits& limits = configuration_.limits;
    limits.max_header_bytes = fields.integer("most_header_bytes", 256, 1 << 24,
                                             static_cast<std::int64_t>(limits.max_header_bytes));
    limits.max_body_bytes = fields.integer("most_body_bytes", 0, 1 << 28,
                                           static_cast<std::int64_t>(limits.max_body_bytes));
    limits.header_wait = fields.milliseconds("header_wait_ms", limits.header_wait);
    limits.change_rest = fields.milliseconds("change_rest_ms", limits.change_rest);
    limits.quiet = fields.milliseconds("quiet_ms", limits.quiet);
  }

  void order_routes() {
    const auto has_longer_prefix = [&](std::uint32_t left, std::uint32_t right) {
      const std::vector<Route>& routes = configuration_.routes;
      return routes[left].path_start.size() > routes[right].path_start.size();
    };
    for (auto& [host, indices] : configuration_.by_host)
      std::sort(indices.begin(), indices.end(), has_longer_prefix);
  }

  /** What is no object is reported even where there was a fault before. */
  bool is_object(const JsonFields& fields) {
    if (fields.value.isObject())
      return true;
    fault_ = fields.position + " is not an object";
    return false;
  }

  const Json::Value& root_;
  Configuration configuration_;
  std::unordered_map<std::string, std::uint32_t> service_indices_;
  std::string fault_;
};

}  // namespace

Error read_configuration(const std::string& body, ConfigurationSnapshot& snapshot) {
  Json::Value root;
  std::string reason;
  if (!read_json(body, root, reason))
    return make_error(ErrorCode::invalid, "configuration is not proper JSON");
  if (!root.isObject())
    return make_error(ErrorCode::invalid, "configuration is not an object");
  ConfigurationReader reader(root);
  if (!reader.read())
    return make_error(ErrorCode::invalid, reader.fault());
  auto configuration = std::make_shared<Configuration>(reader.take());
  configuration->body = body;
  snapshot = std::move(configuration);
  return {};
}

}  // namespace saddlewing
