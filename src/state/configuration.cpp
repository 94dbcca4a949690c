#include "state/configuration.h"

#include "state/lower_case.h"

namespace saddlewing {

const Route* Configuration::match(std::string_view host, std::string_view path) const {
  std::string name = lower_case(std::string(host));
  if (const auto colon = name.rfind(':'); colon != std::string::npos)
    name.resize(colon);
  const auto found = by_host.find(name);
  if (found == by_host.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  for (const std::uint32_t index : found->second)
    if (path.starts_with(routes[index].path_start))
      return &routes[index];
  return nullptr;
}

const Route* Configuration::match_database(const std::string& name) const {
  const auto found = by_host.find(lower_case(name));
  if (found == by_host.end())
    return nullptr;
  for (const std::uint32_t index : found->second)
    if (routes[index].read_consistency != ReadConsistency::none)
      return &routes[index];
  return nullptr;
}

}  // namespace saddlewing
