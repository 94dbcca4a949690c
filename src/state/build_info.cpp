#include "state/build_info.h"

namespace saddlewing {

std::string_view release_version() {
  return SADDLEWING_VERSION;
}

std::string_view build_id() {
  return SADDLEWING_BUILD_ID;
}

std::string build_description() {
  return std::string(release_version()) + " build " + std::string(build_id());
}

std::string build_metric() {
  const std::string name = "saddlewing_build_info";
  const std::string labels = "{version=\"" + std::string(release_version()) + "\",build=\"" +
                             std::string(build_id()) + "\"}";
  return "# HELP " + name + " The build that this process runs.\n# TYPE " + name + " gauge\n" +
         name + labels + " 1\n";
}

}  // namespace saddlewing
