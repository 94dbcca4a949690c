#include "state/node_settings.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

#include "state/json_document.h"
#include "state/setting_fields.h"

namespace saddlewing {
namespace {

constexpr int max_port = 65535;
constexpr Duration min_interval{10};  // of what is done more often under tight time bounds

/** Fills settings from a JSON object, field by field; keeps the first fault that it meets. */
class SettingsReader {
 public:
  SettingsReader(const Json::Value& root, bool is_registry, NodeSettings& settings)
      : root_(root), is_registry_(is_registry), settings_(settings) {
  }

  void read(std::span<const SettingField> fields) {
    for (const SettingField& field : fields) {
      read(field);
      for (const SettingRule& rule : setting_rules())
        if (rule.after == field.path && rule.is_broken(settings_))
          fail(rule.fault);
    }
  }

  /** The first fault; empty: none. */
  const std::string& fault() const {
    return fault_;
  }

 private:
  void read(const SettingField& field) {
    switch (field.form) {
      case SettingForm::plain:
        std::visit([&](auto member) { read(field, settings_.*member); }, field.member);
        break;
      case SettingForm::sign_up:
        read_sign_up(field);
        break;
      case SettingForm::port_pair:
        read_port_pair(field);
        break;
    }
  }

  void read(const SettingField& field, std::string& text) {
    const Json::Value* value = find(field.path);
    if (!value || value->isNull())
      return check_missing(field);
    if (!value->isString())
      return fail(field, " is not a text");
    text = value->asString();
    if (is_required(field) && text.empty())
      fail(field, " is empty");
  }

  void read(const SettingField& field, bool& flag) {
    const Json::Value* value = find(field.path);
    if (!value || value->isNull())
      return;
    if (!value->isBool())
      return fail(field, " is not true or false");
    flag = value->asBool();
  }

  void read(const SettingField& field, double& number) {
    const Json::Value* value = find(field.path);
    if (!value || value->isNull())
      return check_missing(field);
    if (!value->isNumeric() || value->isBool() || !std::isfinite(value->asDouble()))
      return fail(field, " is not a number");
    if (value->asDouble() < field.minimum || value->asDouble() > field.maximum)
      return fail(field, " is out of range");
    number = value->asDouble();
  }

  void read(const SettingField& field, int& number) {
    double count = number;
    read(field, count);
    number = static_cast<int>(count);
  }

  void read(const SettingField& field, std::size_t& number) {
    double count = static_cast<double>(number) / field.scale;
    read(field, count);
    number = static_cast<std::size_t>(count * field.scale);
  }

  void read(const SettingField& field, Duration& duration) {
    double count = static_cast<double>(duration.count()) / field.scale;
    read(field, count);
    duration = Duration(std::max<std::int64_t>(1, std::llround(count * field.scale)));
  }

  void read(const SettingField& field, Address& address) {
    std::string text;
    read(field, text);
    if (!text.empty() && !parse_address(text, address))
      fail(field, " is not an address");
  }

  void read(const SettingField& field, std::vector<Address>& addresses) {
    const Json::Value* list = find(field.path);
    if (!list || !list->isArray() || list->empty())
      return fail(field, " is missing or not a list");
    for (const Json::Value& text : *list) {
      Address address;
      if (text.isString() && parse_address(text.asString(), address))
        addresses.push_back(address);
      else
        fail(field, " holds what is not an address");
    }
  }

  void read(const SettingField& field, std::map<std::string, std::string>& texts) {
    const Json::Value* object = find(field.path);
    if (!object || !object->isObject())
      return;
    for (const std::string& name : object->getMemberNames())
      if (const Json::Value& text = (*object)[name]; text.isString())
        texts[name] = text.asString();
  }

  void read_sign_up(const SettingField& field) {
    std::string text;
    read(field, text);
    settings_.is_signing_up = text == "sign_up";
  }

  void read_port_pair(const SettingField& field) {
    const Json::Value* pair = find(field.path);
    if (!pair || !pair->isArray() || pair->size() != 2 || !(*pair)[0].isInt() ||
        !(*pair)[1].isInt())
      return fail(field, " is not a pair of ports");
    const int first = (*pair)[0].asInt();
    const int last = (*pair)[1].asInt();
    if (first < 1 || last > max_port || first > last)
      return fail(field, " is out of range");
    settings_.inner_port = first;
    settings_.own_port = is_registry_ || first == last ? first : first + 1;
  }

  /** The value at a path; null where an object on the way lacks it. */
  const Json::Value* find(std::string_view path) const {
    const Json::Value* value = &root_;
    while (!path.empty()) {
      const std::size_t dot = std::min(path.find('.'), path.size());
      const std::string name(path.substr(0, dot));
      if (!value->isObject() || !value->isMember(name))
        return nullptr;
      value = &(*value)[name];
      path.remove_prefix(std::min(dot + 1, path.size()));
    }
    return value;
  }

  bool is_required(const SettingField& field) const {
    switch (field.required_by) {
      case RequiredBy::registry:
        return is_registry_;
      case RequiredBy::broker_and_pooler:
        return !is_registry_;
      case RequiredBy::everybody:
        return true;
      case RequiredBy::nobody:
        break;
    }
    return false;
  }

  void check_missing(const SettingField& field) {
    if (is_required(field))
      fail(field, " is missing");
  }

  void fail(const SettingField& field, std::string_view what) {
    fail(std::string(field.path).append(what));
  }

  void fail(std::string_view fault) {
    if (fault_.empty())
      fault_ = fault;
  }

  const Json::Value& root_;
  const bool is_registry_;
  NodeSettings& settings_;
  std::string fault_;
};

/** Where the time bounds are tighter than usual, what must happen within them happens more often.
 */
void shorten_intervals(NodeSettings& settings) {
  const Duration tightest = std::min(settings.empty_out, settings.take_effect);
  settings.listing = std::clamp(settings.empty_out / 6, min_interval, settings.listing);
  settings.follow = std::clamp(tightest / 7, min_interval, settings.follow);
  settings.rollout_wait = std::clamp(settings.take_effect / 6, min_interval, settings.rollout_wait);
}

}  // namespace

Error parse_node_settings(const std::string& text, bool is_registry, NodeSettings& settings) {
  Json::Value root;
  std::string reason;
  if (!read_json(text, root, reason))
    return make_error(ErrorCode::unreadable, "startup is not JSON");
  if (!root.isObject())
    return make_error(ErrorCode::invalid, "startup is not an object");
  NodeSettings parsed;
  SettingsReader reader(root, is_registry, parsed);
  reader.read(deployment_fields());
  shorten_intervals(parsed);
  reader.read(option_fields());
  if (!reader.fault().empty())
    return make_error(ErrorCode::invalid, reader.fault());
  settings = std::move(parsed);
  return {};
}

Error read_node_settings(const std::string& path, bool is_registry, NodeSettings& settings) {
  std::ifstream file(path);
  if (!file)
    return make_error(ErrorCode::unreadable, "startup file", path);
  std::ostringstream text;
  text << file.rdbuf();
  Error error = parse_node_settings(text.str(), is_registry, settings);
  if (error)
    error.peer = path;
  return error;
}

}  // namespace saddlewing
