#pragma once
// Strict reading of JSON, used for every document that an operator or a platform sends. What the
// values mean is left to the caller. Safe from any thread.
#include <string>

namespace Json {
class Value;
}

namespace saddlewing {

/**
 * Parses one JSON value: no comments, no key twice, nothing behind it, at most 64 levels deep.
 * @param reason is set to the parser's message where the text is refused.
 * @return false where the text is refused; `value` is then unspecified.
 */
bool read_json(const std::string& text, Json::Value& value, std::string& reason);

}  // namespace saddlewing
