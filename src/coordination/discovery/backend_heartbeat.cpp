#include "coordination/discovery/backend_heartbeat.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>

#include "state/node_settings.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_text_length = 256;

}  // namespace

Error read_backend_heartbeat(const std::string& id, const std::string& body, bool is_leaving,
                             Endpoint& entry) {
  const bool is_plain = std::all_of(id.begin(), id.end(), [](unsigned char letter) {
    return letter > ' ' && letter < 127 && letter != '/' && letter != '?';
  });
  if (id.empty() || id.size() > max_text_length || !is_plain)
    return make_error(ErrorCode::invalid, "the path names no backend");
  Endpoint read;
  read.id = id;
  if (is_leaving) {
    read.phase = EndpointPhase::gone;
    entry = std::move(read);
    return {};
  }
  Json::Value root;
  std::string reason;
  if (!read_json(body, root, reason) || !root.isObject())
    return make_error(ErrorCode::invalid, "the beat is not a JSON object");
  std::string first;
  const auto text = [&](const char* name, bool is_required) -> std::string {
    const Json::Value& value = root[name];
    if (value.isString() && value.asString().size() <= max_text_length &&
        !(is_required && value.asString().empty()))
      return value.asString();
    if ((is_required || !value.isNull()) && first.empty())
      first = std::string(name) + " is missing or no proper text";
    return {};
  };
  const auto number = [&](const char* name, double minimum, double limit, double otherwise,
                          bool is_required) -> double {
    const Json::Value& value = root[name];
    if (value.isNumeric() && !value.isBool() && std::isfinite(value.asDouble()) &&
        value.asDouble() >= minimum && value.asDouble() <= limit)
      return value.asDouble();
    if ((is_required || !value.isNull()) && first.empty())
      first = std::string(name) + " is missing or out of range";
    return otherwise;
  };
  read.service = text("service", true);
  read.address = text("address", true);
  read.zone = text("zone", true);
  read.software = text("version", false);
  read.capacity = static_cast<std::uint64_t>(number("capacity", 1, 1e6, 1, false));
  read.warmup_left = static_cast<std::uint64_t>(number("warm_left_ms", 0, 1e9, 0, false));
  read.call_count = static_cast<std::uint64_t>(number("call_count", 0, 1e15, 0, true));
  const std::string state = text("state", true), role = text("store_role", false);
  Address address;
  if (first.empty() && !parse_address(read.address, address))
    first = "address is not an address";
  if (first.empty() && state != "ready" && state != "emptying")
    first = "state is neither ready nor emptying";
  if (first.empty() && !role.empty() && role != "leader" && role != "copy")
    first = "store_role is neither leader nor copy";
  if (!first.empty())
    return make_error(ErrorCode::invalid, first);
  read.phase = state == "ready" ? EndpointPhase::ready : EndpointPhase::draining;
  read.is_leader = role == "leader";
  entry = std::move(read);
  return {};
}

}  // namespace saddlewing
