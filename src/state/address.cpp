#include "state/address.h"

namespace saddlewing {
namespace {

constexpr int max_port = 65535;
constexpr int max_port_digits = 5;
constexpr int max_octet = 255;
constexpr int octet_separators = 3;

bool is_digit(char letter) {
  return letter >= '0' && letter <= '9';
}

/** The port that a text of digits names; 0 where it names none. */
int parse_port(std::string_view text) {
  if (text.empty() || text.size() > max_port_digits)
    return 0;
  int port = 0;
  for (const char letter : text) {
    if (!is_digit(letter))
      return 0;
    port = port * 10 + (letter - '0');
  }
  return port <= max_port ? port : 0;
}

bool is_dotted_ipv4(std::string_view text) {
  int separators = 0;
  int octet = -1;  // -1: no digit of it was read yet
  for (const char letter : text) {
    if (is_digit(letter)) {
      octet = (octet < 0 ? 0 : octet) * 10 + (letter - '0');
      if (octet > max_octet)
        return false;
      continue;
    }
    if (letter != '.' || octet < 0 || ++separators > octet_separators)
      return false;
    octet = -1;
  }
  return separators == octet_separators && octet >= 0;
}

}  // namespace

bool parse_address(std::string_view text, Address& address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return false;
  const std::string_view host = text.substr(0, colon);
  const int port = parse_port(text.substr(colon + 1));
  if (port == 0 || !is_dotted_ipv4(host))
    return false;
  address = {std::string(host), port};
  return true;
}

}  // namespace saddlewing
