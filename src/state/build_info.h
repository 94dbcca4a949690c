#pragma once
// Which build of the program this is. Nodes of several builds work together while a cluster is
// upgraded; by these two an operator tells them apart. Constant data, safe from any thread.
#include <string>
#include <string_view>

namespace saddlewing {

/** The version of the release, as `1.2.3`. */
std::string_view release_version();

/** Twelve hexadecimal digits that depend on the sources alone: equal for builds of equal sources.
 */
std::string_view build_id();

/** Version and build in one line, for `--version` and for logs. */
std::string build_description();

/** The metric of this build in the Prometheus text format: always 1, told by its labels. */
std::string build_metric();

}  // namespace saddlewing
