// Walks as files: one JSON document with the format's version first and an end mark last.
#include <json/json.h>

#include <fstream>
#include <sstream>

#include "model_walk.h"

namespace saddlewing::model {

namespace {

constexpr int format = 1;
constexpr const char* end_mark = "end of walk";

struct Number {
  const char* name;
  std::int64_t minimum, limit;
  std::int64_t (*get)(const Setup&);
  void (*set)(Setup&, std::int64_t);
};

#define SADDLEWING_NUMBER(part, minimum, limit)                     \
  {                                                                 \
#part, minimum, limit, [](const Setup& setup) -> std::int64_t { \
      return setup.part;                                            \
    }, [](Setup & setup, std::int64_t value) {                      \
      setup.part = static_cast<decltype(Setup::part)>(value);       \
    }                                                               \
  }
constexpr Number numbers[] = {SADDLEWING_NUMBER(members, 1, 9),
                              SADDLEWING_NUMBER(spares, 0, 9),
                              SADDLEWING_NUMBER(brokers, 0, 100),
                              SADDLEWING_NUMBER(length, 0, 86'400'000'000),
                              SADDLEWING_NUMBER(catch_up, 0, 600'000'000),
                              SADDLEWING_NUMBER(loss, 0, 1000),
                              SADDLEWING_NUMBER(doubling, 0, 1000),
                              SADDLEWING_NUMBER(late, 0, 1000),
                              SADDLEWING_NUMBER(delay, 0, 10'000'000),
                              SADDLEWING_NUMBER(jitter, 0, 10'000'000),
                              SADDLEWING_NUMBER(drift, 0, 100),
                              SADDLEWING_NUMBER(is_beyond, 0, 1)};
#undef SADDLEWING_NUMBER

bool read_number(const Json::Value& value, std::int64_t minimum, std::int64_t limit,
                 std::int64_t& number) {
  if (!value.isInt64() || value.asInt64() < minimum || value.asInt64() > limit)
    return false;
  number = value.asInt64();
  return true;
}

}  // namespace

std::string write_trace(const std::string& path, const Walk& walk, const Violation& violation) {
  Json::Value root;
  root["format"] = format;
  root["seed"] = std::to_string(walk.setup.seed);
  root["planted"] = name_of(walk.setup.planted);
  for (const Number& number : numbers)
    root["setup"][number.name] = Json::Int64(number.get(walk.setup));
  root["steps"] = Json::arrayValue;
  for (const Step& step : walk.steps) {
    Json::Value item;
    item["at"] = Json::Int64(step.at);
    item["act"] = name_of(step.act);
    item["node"] = step.node;
    item["other"] = step.other;
    item["value"] = Json::Int64(step.value);
    item["group"] = step.group;
    root["steps"].append(item);
  }
  root["broken"]["check"] = violation.check;
  root["broken"]["text"] = violation.text;
  root["zz_end"] = end_mark;  // keys are written by the alphabet
  Json::StreamWriterBuilder builder;
  builder["indentation"] = " ";
  std::ofstream file(path);
  file << Json::writeString(builder, root) << "\n";
  file.close();
  return file ? std::string() : path + ": cannot be written";
}

std::string read_trace(const std::string& path, Walk& walk, Violation& violation) {
  std::ifstream file(path);
  if (!file)
    return path + ": cannot be read";
  Json::Value root;
  std::string errors;
  Json::CharReaderBuilder builder;
  builder["failIfExtra"] = true;
  if (!Json::parseFromStream(builder, file, &root, &errors) || !root.isObject())
    return path + ": cut short or no trace of a walk";
  if (!root["format"].isInt() || root["format"].asInt() != format)
    return path + ": of another version than " + std::to_string(format);
  if (root["zz_end"] != end_mark)
    return path + ": cut short, its end mark is missing";
  const Json::Value& setup = root["setup"];
  const Json::Value& steps = root["steps"];
  const Json::Value& broken = root["broken"];
  if (!root["seed"].isString() || !root["planted"].isString() || !setup.isObject() ||
      !steps.isArray() || !broken.isObject())
    return path + ": no trace of a walk";
  const std::string seed = root["seed"].asString();
  if (seed.empty() || seed.size() > 20 || seed.find_first_not_of("0123456789") != std::string::npos)
    return path + ": its seed is no number";
  std::istringstream(seed) >> walk.setup.seed;
  const auto planted = planted_of(root["planted"].asString());
  if (!planted)
    return path + ": unknown planted fault " + root["planted"].asString();
  walk.setup.planted = *planted;
  for (const Number& number : numbers) {
    std::int64_t value = 0;
    if (!read_number(setup[number.name], number.minimum, number.limit, value))
      return path + ": setup." + number.name + " is out of range";
    number.set(walk.setup, value);
  }
  std::size_t count = 0;
  Micros last = 0;
  for (const Json::Value& item : steps) {
    const std::string where = path + ": step " + std::to_string(++count);
    std::int64_t at = 0;
    std::int64_t node = 0;
    std::int64_t other = 0;
    std::int64_t value = 0;
    std::int64_t group = 0;
    if (!item.isObject() || !item["act"].isString())
      return where + " is no step";
    const auto act = act_of(item["act"].asString());
    if (!act)
      return where + " does what is unknown";
    if (!read_number(item["at"], last, walk.setup.length, at) ||
        !read_number(item["node"], 0, 999, node) || !read_number(item["other"], 0, 999, other) ||
        !read_number(item["value"], 0, 1'000'000'000, value) ||
        !read_number(item["group"], 0, 1'000'000'000, group) || (*act == Act::disk && value > 3))
      return where + " is out of range";
    last = at;
    walk.steps.push_back({at, *act, static_cast<int>(node), static_cast<int>(other), value,
                          static_cast<std::uint32_t>(group)});
  }
  violation = {broken["check"].isString() ? broken["check"].asString() : "",
               broken["text"].isString() ? broken["text"].asString() : "", 0};
  return {};
}

}  // namespace saddlewing::model
