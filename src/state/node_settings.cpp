#include "state/node_settings.h"

#include <json/json.h>

#include <cmath>
#include <fstream>
#include <memory>
#include <sstream>

namespace saddlewing {
namespace {

// Collects the first fault found while fields are read.
class Reader {
 public:
  explicit Reader(const Json::Value& root) : root_(root) {
  }

  const Json::Value* find(const std::string& path) const {
    const Json::Value* value = &root_;
    std::istringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
      if (!value->isObject() || !value->isMember(part))
        return nullptr;
      value = &(*value)[part];
    }
    return value;
  }
  void text(const std::string& path, std::string& field, bool is_required) {
    const Json::Value* value = find(path);
    if (!value || value->isNull()) {
      if (is_required)
        fail(path + " is missing");
    } else if (!value->isString()) {
      fail(path + " is not a text");
    } else {
      field = value->asString();
      if (is_required && field.empty())
        fail(path + " is empty");
    }
  }
  void number(const std::string& path, double& field, double minimum, double limit,
              bool is_required = false) {
    const Json::Value* value = find(path);
    if (!value || value->isNull()) {
      if (is_required)
        fail(path + " is missing");
    } else if (!value->isNumeric() || value->isBool() || !std::isfinite(value->asDouble())) {
      fail(path + " is not a number");
    } else if (value->asDouble() < minimum || value->asDouble() > limit) {
      fail(path + " is out of range");
    } else {
      field = value->asDouble();
    }
  }
  void span(const std::string& path, Duration& field, double factor = 1, bool is_required = false) {
    double count = static_cast<double>(field.count()) / factor;
    number(path, count, 0.001, 86400000, is_required);
    field = Duration(std::max<std::int64_t>(1, std::llround(count * factor)));
  }
  void truth(const std::string& path, bool& field) {
    const Json::Value* value = find(path);
    if (!value || value->isNull())
      return;
    if (!value->isBool())
      return fail(path + " is not true or false");
    field = value->asBool();
  }
  void address(const std::string& path, Address& field, bool is_required) {
    std::string written;
    text(path, written, is_required);
    if (!written.empty() && !parse_address(written, field))
      fail(path + " is not an address");
  }
  void fail(const std::string& what) {
    if (first_.empty())
      first_ = what;
  }
  const std::string& first() const {
    return first_;
  }

 private:
  const Json::Value& root_;
  std::string first_;
};

}  // namespace

bool parse_address(const std::string& text, Address& address) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size() ||
      text.size() - colon > 6)
    return false;
  int port = 0;
  for (char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9')
      return false;
    port = port * 10 + (digit - '0');
  }
  int dots = 0, value = -1;
  for (char letter : text.substr(0, colon)) {
    if (letter == '.') {
      if (value < 0 || ++dots > 3)
        return false;
      value = -1;
    } else if (letter >= '0' && letter <= '9') {
      value = (value < 0 ? 0 : value) * 10 + (letter - '0');
      if (value > 255)
        return false;
    } else {
      return false;
    }
  }
  if (dots != 3 || value < 0 || port < 1 || port > 65535)
    return false;
  address = {text.substr(0, colon), port};
  return true;
}

bool read_json(const std::string& text, Json::Value& value, std::string& reason) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["allowSpecialFloats"] = false;
  builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value, &reason);
  } catch (const std::exception& thrown) {  // the library throws when a text nests too deep
    reason = thrown.what();
    return false;
  }
}

Error parse_node_settings(const std::string& text, bool is_registry, NodeSettings& settings) {
  Json::Value root;
  std::string reason;
  if (!read_json(text, root, reason))
    return make_error(ErrorCode::unreadable, "startup is not JSON");
  if (!root.isObject())
    return make_error(ErrorCode::invalid, "startup is not an object");
  NodeSettings read;
  Reader reader(root);
  reader.text("node_name", read.node_name, true);
  reader.text("ip_address", read.ip_address, true);
  reader.text("zone", read.zone, true);
  reader.text("region", read.region, false);
  reader.text("data_folder", read.data_folder, is_registry);
  reader.truth("first_run", read.is_first_run);
  reader.address("listens_on.front", read.front, !is_registry);
  reader.address("listens_on.ready_check", read.ready_check, !is_registry);
  reader.address("listens_on.control", read.control, is_registry);
  reader.address("provider_api.address", read.platform, is_registry);
  reader.number("provider_api.rate_per_s", read.platform_rate, 0.01, 1e6);
  if (const Json::Value* contacts = reader.find("first_contacts");
      !contacts || !contacts->isArray() || contacts->empty()) {
    reader.fail("first_contacts is missing or not a list");
  } else {
    for (const Json::Value& contact : *contacts) {
      Address address;
      if (!contact.isString() || !parse_address(contact.asString(), address))
        reader.fail("first_contacts holds what is not an address");
      else
        read.contacts.push_back(address);
    }
  }
  if (const Json::Value* zones = reader.find("zones"); zones && zones->isObject())
    for (const auto& name : zones->getMemberNames())
      if ((*zones)[name].isString())
        read.zones[name] = (*zones)[name].asString();
  const Json::Value* ports = reader.find("spare_ports");
  if (!ports || !ports->isArray() || ports->size() != 2 || !(*ports)[0].isInt() ||
      !(*ports)[1].isInt()) {
    reader.fail("spare_ports is not a pair of ports");
  } else {
    const int first = (*ports)[0].asInt(), last = (*ports)[1].asInt();
    if (first < 1 || last > 65535 || first > last)
      reader.fail("spare_ports is out of range");
    read.inner_port = first;
    read.own_port = is_registry ? first : first + (last > first);
  }
  std::string finding;
  reader.text("finding", finding, false);
  read.is_signing_up = finding == "sign_up";
  reader.span("beat_every_ms", read.backend_heartbeat_interval);
  double can_lose = 1;
  reader.number("can_lose.machines", can_lose, 0, 1000);
  read.can_lose = static_cast<int>(can_lose);
  reader.number("provider_api.chore_rate_s", read.duty_rate, 0.01, 1e6);
  double memory_mb = 256, handles = 1024, tries = 0;
  reader.number("limits.memory_mb", memory_mb, 32, 1 << 20);
  reader.number("limits.file_handles", handles, 256, 1 << 20);
  read.memory_bytes = static_cast<std::size_t>(memory_mb * (1 << 20));
  read.file_handles = static_cast<int>(handles);
  reader.span("time_bounds.empty_out_ms", read.empty_out);
  reader.span("time_bounds.grace_s", read.grace, 1000);
  reader.span("time_bounds.catch_up_s", read.catch_up, 1000, is_registry);
  reader.span("time_bounds.take_effect_ms", read.take_effect);
  reader.span("time_bounds.reuse_wait_s", read.reuse_wait, 1000);
  reader.span("time_bounds.retry_span_s", read.retry_span, 1000);
  reader.number("time_bounds.retry_share", read.retry_share, 0, 1);
  reader.number("time_bounds.extra_tries", tries, 0, 1e9);
  read.extra_tries = static_cast<int>(tries);
  // Where the bounds are tighter than usual, what must happen within them happens more often.
  read.listing = std::clamp(read.empty_out / 6, Duration(10), read.listing);
  read.follow =
      std::clamp(std::min(read.empty_out, read.take_effect) / 7, Duration(10), read.follow);
  read.rollout_wait = std::clamp(read.take_effect / 6, Duration(10), read.rollout_wait);
  reader.span("options.beat_ms", read.heartbeat);
  reader.span("options.election_ms", read.election);
  reader.span("options.renewal_ms", read.renewal);
  reader.span("options.hold_ms", read.lease);
  reader.span("options.sweep_ms", read.sweep);
  reader.number("options.renewal_threshold", read.renewal_threshold, 0, 1);
  reader.truth("options.self_preservation", read.is_preserving);
  reader.span("options.listing_ms", read.listing);
  reader.span("options.follow_ms", read.follow);
  reader.text("options.alert_rules", read.alert_rules, false);
  reader.span("options.rollout_wait_ms", read.rollout_wait);
  reader.span("options.lead_hold_ms", read.leadership_lease);
  reader.number("options.heavy_times", read.heavy_times, 0, 1000);
  if (read.heavy_times > 0 && read.heavy_times < 1.5)
    reader.fail("options.heavy_times is between 0 and 1.5");
  reader.truth("options.edges", read.has_edges);
  reader.span("options.edges_half_life_ms", read.edges_half_life);
  reader.span("options.edges_least_stay_ms", read.edges_min_stay);
  reader.span("options.edges_fade_ms", read.edges_fade);
  reader.number("options.edges_avoid_times", read.edges_avoid_times, 1.2, 1000);
  reader.number("options.edges_return_times", read.edges_return_times, 1, 1000);
  reader.number("options.edges_least_samples", read.edges_min_samples, 5, 1e6);
  if (read.edges_return_times >= read.edges_avoid_times)
    reader.fail("options.edges_return_times is not under options.edges_avoid_times");
  if (read.edges_fade < read.follow * 4)
    reader.fail("options.edges_fade_ms is under four times options.follow_ms");
  reader.span("options.unconfirmed_wait_ms", read.unconfirmed_wait);
  if (read.election < read.heartbeat * 3)
    reader.fail("options.election_ms is under three times options.beat_ms");
  if (read.rollout_wait * 3 > read.take_effect)
    reader.fail("options.rollout_wait_ms is over a third of time_bounds.take_effect_ms");
  if (read.listing * 3 + read.follow > read.empty_out)
    reader.fail("options.listing_ms is too long for time_bounds.empty_out_ms");
  if (read.leadership_lease < read.follow * 3)
    reader.fail("options.lead_hold_ms is under three times options.follow_ms");
  if (read.lease < read.renewal * 2)
    reader.fail("options.hold_ms is under twice options.renewal_ms");
  if (!reader.first().empty())
    return make_error(ErrorCode::invalid, reader.first());
  settings = std::move(read);
  return {};
}

Error read_node_settings(const std::string& path, bool is_registry, NodeSettings& settings) {
  std::ifstream file(path);
  if (!file)
    return make_error(ErrorCode::unreadable, "startup file", path);
  std::ostringstream text;
  text << file.rdbuf();
  Error found = parse_node_settings(text.str(), is_registry, settings);
  if (found)
    found.peer = path;
  return found;
}

}  // namespace saddlewing
