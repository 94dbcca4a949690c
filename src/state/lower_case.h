#pragma once
// Lower case of ASCII letters, for names that are compared without regard to case.
#include <string>

namespace saddlewing {

/** The text with A to Z made a to z; other bytes stay. */
inline std::string lower_case(std::string text) {
  for (char& letter : text)
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter - 'A' + 'a');
  return text;
}

}  // namespace saddlewing
