#include "state/json_document.h"

#include <json/json.h>

#include <memory>

namespace saddlewing {
namespace {

constexpr int max_depth = 64;

}  // namespace

bool read_json(const std::string& text, Json::Value& value, std::string& reason) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["allowSpecialFloats"] = false;
  builder["stackLimit"] = max_depth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    return reader->parse(text.data(), text.data() + text.size(), &value, &reason);
  } catch (const std::exception& thrown) {  // the library throws when a text nests too deep
    reason = thrown.what();
    return false;
  }
}

}  // namespace saddlewing
