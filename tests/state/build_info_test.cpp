#include "state/build_info.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "state/metrics.h"

using namespace saddlewing;

Test(build_info, the_metrics_and_the_version_name_the_build) {
  const std::string id(build_id());
  cr_expect(id.size() == 12);
  cr_expect(
      std::all_of(id.begin(), id.end(), [](unsigned char digit) { return std::isxdigit(digit); }));
  cr_expect(build_description() == std::string(release_version()) + " build " + id);
  const std::string sample = "\nsaddlewing_build_info{version=\"" + std::string(release_version()) +
                             "\",build=\"" + id + "\"} 1\n";
  cr_expect(Metrics().page().find(sample) != std::string::npos);
}
