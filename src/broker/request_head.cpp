#include "broker/request_head.h"

#include "protocol/http_calls.h"
#include "transport/header_names.h"
#include "transport/http_message.h"

namespace saddlewing {
namespace {

std::string to_lower(std::string text) {
  for (char& letter : text)
    if (letter >= 'A' && letter <= 'Z')
      letter = static_cast<char>(letter + 32);
  return text;
}

}  // namespace

Duration parse_time_left(const std::string& text, Duration fallback) {
  if (text.empty() || text.size() > 9)
    return fallback;
  std::int64_t value = 0;
  for (const char digit : text) {
    if (digit < '0' || digit > '9')
      return fallback;
    value = value * 10 + (digit - '0');
  }
  return Duration(value);
}

std::string make_common_head(const Poco::Net::HTTPRequest& request, std::size_t body_size) {
  std::string head = request.getMethod() + " " + request.getURI() + " HTTP/1.1\r\n";
  const std::string nominated = "," + to_lower(request.get("Connection", "")) + ",";
  for (const auto& [name, value] : request) {
    if (is_hop_field(name) || is_same_name(name, header_name::time_left) ||
        is_same_name(name, header_name::target_server) ||
        is_same_name(name, header_name::ring_revision) ||
        is_same_name(name, header_name::ring_show) || is_same_name(name, header_name::ring_hide))
      continue;
    if (nominated.size() > 2 && nominated.find(to_lower(name)) != std::string::npos &&
        !is_same_name(name, "Host") && !is_same_name(name, header_name::try_id))
      continue;
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
  }
  const std::string& method = request.getMethod();
  if (body_size || method == "POST" || method == "PUT" || method == "PATCH")
    head += "Content-Length: " + std::to_string(body_size) + "\r\n";
  return head;
}

std::string make_ring_fields(const RingView& view, const std::string& node) {
  const std::size_t index = view.map.index_of(node);
  if (index == view.map.nodes.size())
    return {};
  std::string fields =
      std::string(header_name::ring_revision) + ": " + std::to_string(view.revision) + "\r\n";
  if (const auto told = view.unit_visibilities.find(index); told != view.unit_visibilities.end())
    fields += std::string(told->second.is_shown ? header_name::ring_show : header_name::ring_hide) +
              ": " + told->second.unit.text() + "\r\n";
  return fields;
}

}  // namespace saddlewing
