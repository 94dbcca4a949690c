#include "coordination/discovery/backend_heartbeat.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "protocol/discovery_messages.h"
#include "protocol/message_fields.h"
#include "state/address.h"
#include "state/json_document.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_text_length = 256;  // bytes
constexpr double max_capacity = 1e6;
constexpr double max_warm_left_ms = 1e9;
constexpr double max_call_count = 1e15;

bool is_valid_id(const std::string& id) {
  if (id.empty() || id.size() > max_text_length)
    return false;
  return std::all_of(id.begin(), id.end(), [](unsigned char letter) {
    return letter > ' ' && letter < 127 && letter != '/' && letter != '?';
  });
}

enum class Presence {
  required,
  optional
};

// Reads fields of a JSON object and keeps the first complaint.
class FieldReader {
 public:
  explicit FieldReader(const Json::Value& root) : root_(root) {
  }

  // Empty if the field is absent or wrong. A required text must not be empty.
  std::string text(const char* name, Presence presence) {
    const Json::Value& value = root_[name];
    const bool is_required = presence == Presence::required;
    if (value.isString() && value.asString().size() <= max_text_length &&
        !(is_required && value.asString().empty()))
      return value.asString();
    if (is_required || !value.isNull())
      complain(std::string(name) + " is missing or no proper text");
    return {};
  }

  // `minimum` if the field is absent or wrong.
  std::uint64_t number(const char* name, double minimum, double maximum, Presence presence) {
    const Json::Value& value = root_[name];
    if (value.isNumeric() && !value.isBool() && std::isfinite(value.asDouble()) &&
        value.asDouble() >= minimum && value.asDouble() <= maximum)
      return static_cast<std::uint64_t>(value.asDouble());
    if (presence == Presence::required || !value.isNull())
      complain(std::string(name) + " is missing or out of range");
    return static_cast<std::uint64_t>(minimum);
  }

  void expect(bool is_right, const char* complaint) {
    if (!is_right)
      complain(complaint);
  }

  // Empty while nothing is wrong.
  const std::string& complaint() const {
    return complaint_;
  }

 private:
  void complain(std::string complaint) {
    if (complaint_.empty())
      complaint_ = std::move(complaint);
  }

  const Json::Value& root_;
  std::string complaint_;
};

// Returns the first complaint.
std::string read_fields(const Json::Value& root, Endpoint& read) {
  FieldReader reader(root);
  read.service = reader.text("service", Presence::required);
  read.address = reader.text("address", Presence::required);
  read.zone = reader.text("zone", Presence::required);
  read.software = reader.text("version", Presence::optional);
  read.capacity = reader.number("capacity", 1, max_capacity, Presence::optional);
  read.warmup_left = reader.number("warm_left_ms", 0, max_warm_left_ms, Presence::optional);
  read.call_count = reader.number("call_count", 0, max_call_count, Presence::required);
  const std::string state = reader.text("state", Presence::required);
  const std::string role = reader.text("store_role", Presence::optional);
  Address address;
  reader.expect(parse_address(read.address, address), "address is not an address");
  reader.expect(state == "ready" || state == "emptying", "state is neither ready nor emptying");
  reader.expect(role.empty() || role == "leader" || role == "copy",
                "store_role is neither leader nor copy");
  read.phase = state == "ready" ? EndpointPhase::ready : EndpointPhase::draining;
  read.is_leader = role == "leader";
  return reader.complaint();
}

}  // namespace

Error read_backend_heartbeat(const std::string& id, const std::string& body, bool is_leaving,
                             Endpoint& entry) {
  if (!is_valid_id(id))
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
  if (const std::string complaint = read_fields(root, read); !complaint.empty())
    return make_error(ErrorCode::invalid, complaint);
  entry = std::move(read);
  return {};
}

}  // namespace saddlewing
