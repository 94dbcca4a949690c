#include "state/setting_fields.h"

#include <sstream>

namespace saddlewing {
namespace {

using Settings = NodeSettings;

constexpr double max_duration = 86400000;  // in the file's unit
constexpr double min_duration = 0.001;
constexpr double max_rate = 1e6;  // calls a second
constexpr double min_rate = 0.01;
constexpr double bytes_per_mb = 1 << 20;
constexpr double milliseconds_per_second = 1000;

constexpr SettingField value(std::string_view path, SettingMember member, RequiredBy required_by,
                             std::string_view description, SettingForm form = SettingForm::plain) {
  return {path, member, required_by, "", 1, 0, 0, description, form};
}

constexpr SettingField number(std::string_view path, SettingMember member, double minimum,
                              double maximum, std::string_view description) {
  return {path, member, RequiredBy::nobody, "", 1, minimum, maximum, description};
}

constexpr SettingField milliseconds(std::string_view path, Duration Settings::*member,
                                    std::string_view description) {
  return {path, member, RequiredBy::nobody, "ms", 1, min_duration, max_duration, description};
}

constexpr SettingField seconds(std::string_view path, Duration Settings::*member,
                               std::string_view description,
                               RequiredBy required_by = RequiredBy::nobody) {
  return {path,         member,       required_by, "s", milliseconds_per_second,
          min_duration, max_duration, description};
}

constexpr SettingField deployment_table[] = {
    value("node_name", &Settings::node_name, RequiredBy::everybody, "this machine's name"),
    value("ip_address", &Settings::ip_address, RequiredBy::everybody, "this machine's address"),
    value("zone", &Settings::zone, RequiredBy::everybody, "this machine's zone"),
    value("region", &Settings::region, RequiredBy::nobody, "the zone's region"),
    value("data_folder", &Settings::data_folder, RequiredBy::registry,
          "folder of the durable store"),
    value("first_run", &Settings::is_first_run, RequiredBy::nobody,
          "whether this start may found a new cluster"),
    value("listens_on.front", &Settings::front, RequiredBy::broker_and_pooler,
          "where clients connect"),
    value("listens_on.ready_check", &Settings::ready_check, RequiredBy::broker_and_pooler,
          "readiness probe and metrics"),
    value("listens_on.control", &Settings::control, RequiredBy::registry,
          "operators' calls, backend heartbeats and metrics"),
    value("provider_api.address", &Settings::platform, RequiredBy::registry, "the platform's API"),
    number("provider_api.rate_per_s", &Settings::platform_rate, min_rate, max_rate,
           "calls a second that the platform allows for listing backends"),
    value("first_contacts", &Settings::contacts, RequiredBy::everybody,
          "control addresses of some registries; their inner port is the same everywhere"),
    value("zones", &Settings::zones, RequiredBy::nobody, "region of each zone"),
    value("spare_ports", &Settings::inner_port, RequiredBy::everybody,
          "first and last: the first carries a registry's frames, the second a broker's or "
          "pooler's",
          SettingForm::port_pair),
    value("finding", &Settings::is_signing_up, RequiredBy::nobody,
          "`sign_up`: backends register themselves; else the platform lists them",
          SettingForm::sign_up),
    milliseconds("beat_every_ms", &Settings::backend_heartbeat_interval,
                 "heartbeat of a backend that registers itself"),
    number("can_lose.machines", &Settings::can_lose, 0, 1000,
           "core machines that may be lost at once"),
    number("provider_api.chore_rate_s", &Settings::duty_rate, min_rate, max_rate,
           "calls a second that the platform allows for promotions and moves"),
    {"limits.memory_mb", &Settings::memory_bytes, RequiredBy::nobody, "MiB", bytes_per_mb, 32,
     1 << 20, "memory that the process may use"},
    number("limits.file_handles", &Settings::file_handles, 256, 1 << 20,
           "file handles that the process may use"),
    milliseconds("time_bounds.empty_out_ms", &Settings::empty_out,
                 "a backend that is gone receives no more requests after this"),
    seconds("time_bounds.grace_s", &Settings::grace, "time to end after SIGTERM"),
    seconds("time_bounds.catch_up_s", &Settings::catch_up,
            "a member of the core counts as lost for so long after it is back; a silent one is "
            "replaced after a quarter of it (at least one and a half `election_ms`, at most 3 s)",
            RequiredBy::registry),
    milliseconds("time_bounds.take_effect_ms", &Settings::take_effect,
                 "a new configuration is in force everywhere after this"),
    seconds("time_bounds.reuse_wait_s", &Settings::reuse_wait,
            "the platform gives an address to another backend no sooner"),
    seconds("time_bounds.retry_span_s", &Settings::retry_span,
            "window over which retries are counted"),
    number("time_bounds.retry_share", &Settings::retry_share, 0, 1,
           "retries allowed, as a share of the requests of the window"),
    number("time_bounds.extra_tries", &Settings::extra_tries, 0, 1e9,
           "retries allowed beyond the share, in the whole cluster, for each window"),
};

constexpr SettingField option_table[] = {
    milliseconds("options.beat_ms", &Settings::heartbeat, "heartbeat of the Raft leader"),
    milliseconds("options.election_ms", &Settings::election,
                 "least election time-out; at least three `beat_ms`"),
    milliseconds("options.renewal_ms", &Settings::renewal,
                 "between two probes that renew a backend's lease"),
    milliseconds("options.hold_ms", &Settings::lease,
                 "lease of a backend; at least two `renewal_ms`"),
    milliseconds("options.sweep_ms", &Settings::sweep,
                 "between two searches for leases that ran out"),
    number("options.renewal_threshold", &Settings::renewal_threshold, 0, 1,
           "share of the expected renewals below which nothing is evicted"),
    value("options.self_preservation", &Settings::is_preserving, RequiredBy::nobody,
          "whether eviction pauses under the threshold"),
    milliseconds("options.listing_ms", &Settings::listing,
                 "between two listings of the platform; less under a tight `empty_out_ms`"),
    milliseconds("options.follow_ms", &Settings::follow,
                 "heartbeat of a broker or pooler to the registries; less under a tight "
                 "`empty_out_ms` or `take_effect_ms`"),
    value("options.alert_rules", &Settings::alert_rules, RequiredBy::nobody,
          "path of a file of alert rules, read at the start and whenever the settings are"),
    milliseconds("options.rollout_wait_ms", &Settings::rollout_wait,
                 "a new version waits this long for brokers that do not hold it yet; at most a "
                 "third of `take_effect_ms`"),
    milliseconds("options.lead_hold_ms", &Settings::leadership_lease,
                 "see [operating-pooler](operating-pooler.md); at least three `follow_ms`"),
    number("options.heavy_times", &Settings::heavy_times, 0, 1000,
           "a route with so many times the work of the lightest at the same service is heavy and "
           "leaves a slot to short ones; 0: off, "
           "else at least 1.5; see [design/heavy.md](design/heavy.md)"),
    value("options.edges", &Settings::has_edges, RequiredBy::nobody,
          "whether brokers share their latencies; see [operating-edges](operating-edges.md)"),
    milliseconds("options.edges_half_life_ms", &Settings::edges_half_life,
                 "after which a measurement counts half"),
    milliseconds("options.edges_least_stay_ms", &Settings::edges_min_stay,
                 "an edge stays avoided or in use for at least so long"),
    milliseconds("options.edges_fade_ms", &Settings::edges_fade,
                 "a broker that hears nothing more is neutral after that; at least four "
                 "`follow_ms`"),
    number("options.edges_avoid_times", &Settings::edges_avoid_times, 1.2, 1000,
           "an edge beyond this multiple of the best one's time is avoided"),
    number("options.edges_return_times", &Settings::edges_return_times, 1, 1000,
           "an edge within this multiple returns; less than `edges_avoid_times`"),
    number("options.edges_least_samples", &Settings::edges_min_samples, 5, 1e6,
           "samples below which an edge is not judged"),
    milliseconds("options.unconfirmed_wait_ms", &Settings::unconfirmed_wait,
                 "a broker that just started then serves by the newest that any registry holds "
                 "committed"),
};

constexpr SettingRule rule_table[] = {
    {"options.heavy_times",
     [](const Settings& settings) {
       return settings.heavy_times > 0 && settings.heavy_times < 1.5;
     },
     "options.heavy_times is between 0 and 1.5"},
    {"options.edges_least_samples",
     [](const Settings& settings) {
       return settings.edges_return_times >= settings.edges_avoid_times;
     },
     "options.edges_return_times is not under options.edges_avoid_times"},
    {"options.edges_least_samples",
     [](const Settings& settings) { return settings.edges_fade < settings.follow * 4; },
     "options.edges_fade_ms is under four times options.follow_ms"},
    {"options.unconfirmed_wait_ms",
     [](const Settings& settings) { return settings.election < settings.heartbeat * 3; },
     "options.election_ms is under three times options.beat_ms"},
    {"options.unconfirmed_wait_ms",
     [](const Settings& settings) { return settings.rollout_wait * 3 > settings.take_effect; },
     "options.rollout_wait_ms is over a third of time_bounds.take_effect_ms"},
    {"options.unconfirmed_wait_ms",
     [](const Settings& settings) {
       return settings.listing * 3 + settings.follow > settings.empty_out;
     },
     "options.listing_ms is too long for time_bounds.empty_out_ms"},
    {"options.unconfirmed_wait_ms",
     [](const Settings& settings) { return settings.leadership_lease < settings.follow * 3; },
     "options.lead_hold_ms is under three times options.follow_ms"},
    {"options.unconfirmed_wait_ms",
     [](const Settings& settings) { return settings.lease < settings.renewal * 2; },
     "options.hold_ms is under twice options.renewal_ms"},
};

std::string_view text_of(RequiredBy required_by) {
  switch (required_by) {
    case RequiredBy::nobody:
      return "no";
    case RequiredBy::registry:
      return "registry";
    case RequiredBy::broker_and_pooler:
      return "broker, pooler";
    case RequiredBy::everybody:
      return "yes";
  }
  return "";
}

/** Writes a default as an operator would write it in the file; nothing where there is none. */
struct DefaultWriter {
  const SettingField& field;
  std::ostream& out;
  const NodeSettings defaults{};

  void operator()(bool Settings::*member) const {
    out << (defaults.*member ? "true" : "false");
  }
  void operator()(int Settings::*member) const {
    out << defaults.*member;
  }
  void operator()(double Settings::*member) const {
    out << defaults.*member;
  }
  void operator()(std::size_t Settings::*member) const {
    out << static_cast<double>(defaults.*member) / field.scale;
  }
  void operator()(Duration Settings::*member) const {
    out << static_cast<double>((defaults.*member).count()) / field.scale;
  }
  template <class Other>
  void operator()(Other Settings::*) const {
  }
};

/** The default as the page shows it; a field that must be given shows its unit alone. */
std::string default_of(const SettingField& field) {
  std::ostringstream text;
  if (field.form == SettingForm::plain && field.required_by == RequiredBy::nobody)
    std::visit(DefaultWriter{field, text}, field.member);
  if (field.unit.empty())
    return text.str();
  return text.str().empty() ? "(" + std::string(field.unit) + ")"
                            : text.str() + " " + std::string(field.unit);
}

void render(const SettingField& field, std::ostream& out) {
  out << "| `" << field.path << "` | " << text_of(field.required_by) << " | " << default_of(field)
      << " | " << field.description << " |\n";
}

}  // namespace

std::span<const SettingField> deployment_fields() {
  return deployment_table;
}

std::span<const SettingField> option_fields() {
  return option_table;
}

std::span<const SettingRule> setting_rules() {
  return rule_table;
}

std::string render_setting_fields() {
  std::ostringstream page;
  page << "| field | required | default | what |\n| --- | --- | --- | --- |\n";
  for (const std::span<const SettingField> fields : {deployment_fields(), option_fields()})
    for (const SettingField& field : fields)
      render(field, page);
  return page.str();
}

}  // namespace saddlewing
