#pragma once
// The table of fields that a settings file may contain, and of the rules between them. It is the
// one place that names them: the parser and the operators' page are both made from it. Constant
// data, safe from any thread.
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "state/node_settings.h"

namespace saddlewing {

/** The member of NodeSettings that a field fills; its type decides how the field is read. */
using SettingMember =
    std::variant<std::string NodeSettings::*, bool NodeSettings::*, int NodeSettings::*,
                 double NodeSettings::*, std::size_t NodeSettings::*, Duration NodeSettings::*,
                 Address NodeSettings::*, std::vector<Address> NodeSettings::*,
                 std::map<std::string, std::string> NodeSettings::*>;

/** Which processes cannot start without a field. */
enum class RequiredBy {
  nobody,
  registry,
  broker_and_pooler,
  everybody
};

/** Two fields that take more than one member, or whose texts stand for something else. */
enum class SettingForm {
  /** As the member's type says. */
  plain,
  /** True if the text is `sign_up`. */
  sign_up,
  /** A pair of ports, first and last: `inner_port`, then `own_port`. */
  port_pair
};

/** One field of the settings file. */
struct SettingField {
  /** Name in the file; a dot leads into an object. */
  std::string_view path;
  SettingMember member;
  RequiredBy required_by;
  /** Unit of the number in the file, for the page; empty: a plain value. */
  std::string_view unit;
  /** How many of the member's units (milliseconds, bytes) one unit of the file has. */
  double scale;
  /** Least and greatest number, in the file's unit; both are allowed. */
  double minimum, maximum;
  /** What the field does, in one line. */
  std::string_view description;
  SettingForm form = SettingForm::plain;
};

/** A condition between fields. */
struct SettingRule {
  /** The field after which it is checked. The first fault found is the one reported. */
  std::string_view after;
  bool (*is_broken)(const NodeSettings&);
  /** The fault as it is reported. */
  std::string_view fault;
};

/** Fields of the deployment, in the order in which they are read. */
std::span<const SettingField> deployment_fields();

/** Fields under `options`, read after the deployment's, since defaults of some follow from those.
 */
std::span<const SettingField> option_fields();

std::span<const SettingRule> setting_rules();

/** All fields as a Markdown table for docs/operating.md, a line each. */
std::string render_setting_fields();

}  // namespace saddlewing
