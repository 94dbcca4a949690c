#pragma once
// The address of a socket: a dotted IPv4 host and a port. Names are not resolved here. Plain values
// without threads.
#include <compare>
#include <string>
#include <string_view>

namespace saddlewing {

/** An IPv4 address and a TCP port. */
struct Address {
  /** Four decimal numbers with dots between them. */
  std::string host;
  /** 1 to 65535; 0 where no address was given. */
  int port = 0;

  /** The address as `host:port`. */
  std::string text() const {
    return host + ":" + std::to_string(port);
  }
  auto operator<=>(const Address&) const = default;
};

/**
 * Reads `host:port`.
 * @param text such as `10.0.0.1:80`.
 * @param address is set only where the text is an address.
 * @return false where the text is none.
 */
bool parse_address(std::string_view text, Address& address);

}  // namespace saddlewing
