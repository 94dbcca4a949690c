// The settings file: what is wrong in it is named, and nothing of a wrong file is taken.
#include "state/node_settings.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

#include "state/setting_fields.h"

using namespace saddlewing;

Test(settings, what_is_wrong_is_named) {
  const std::string good =
      R"({"node_name":"n","ip_address":"10.0.0.1","zone":"z","first_contacts":["10.0.0.2:8"],"spare_ports":[7000,7010],
    "listens_on":{"front":"10.0.0.1:80","ready_check":"10.0.0.1:81"},"unknown":{"x":1})";
  NodeSettings settings;
  cr_assert(!parse_node_settings(good + "}", false, settings));
  cr_expect(settings.inner_port == 7000 && settings.contacts.size() == 1);
  cr_expect(parse_node_settings(good + "}", true, settings).step == "data_folder is missing");
  cr_expect(
      parse_node_settings(good + R"(,"time_bounds":{"retry_share":2}})", false, settings).step ==
      "time_bounds.retry_share is out of range");
  cr_expect(
      parse_node_settings(good + R"(,"time_bounds":{"grace_s":"6"}})", false, settings).step ==
      "time_bounds.grace_s is not a number");
  cr_expect(parse_node_settings(good + R"(,"options":{"hold_ms":100}})", false, settings).step ==
            "options.hold_ms is under twice options.renewal_ms");
  cr_assert(!parse_node_settings(
      good + R"(,"time_bounds":{"empty_out_ms":900,"take_effect_ms":900}})", false, settings));
  cr_expect(settings.listing * 3 + settings.follow <= Duration(900) &&
                settings.rollout_wait * 3 <= Duration(900),
            "options follow tight bounds");
  cr_expect(
      parse_node_settings(good + R"(,"options":{"listing_ms":1000}})", false, settings).step ==
      "options.listing_ms is too long for time_bounds.empty_out_ms");
  for (const auto& [options, complaint] :
       {std::pair(R"("heavy_times":1)", "options.heavy_times is between 0 and 1.5"),
        {R"("heavy_times":-1)", "options.heavy_times is out of range"},
        {R"("edges":1)", "options.edges is not true or false"},
        {R"("edges_avoid_times":1.4)",
         "options.edges_return_times is not under options.edges_avoid_times"},
        {R"("edges_least_samples":2)", "options.edges_least_samples is out of range"},
        {R"("edges_fade_ms":900)", "options.edges_fade_ms is under four times options.follow_ms"}})
    cr_expect(
        parse_node_settings(good + R"(,"options":{)" + options + "}}", false, settings).step ==
            complaint,
        "%s", complaint);
  const std::string registry =
      R"({"node_name":"n","ip_address":"10.0.0.1","zone":"z","data_folder":"/d","first_contacts":["10.0.0.2:8"],"spare_ports":[7000,7010],
    "listens_on":{"control":"10.0.0.1:80"},"provider_api":{"address":"10.0.0.9:80"})";
  cr_assert(!parse_node_settings(registry + R"(,"time_bounds":{"catch_up_s":6}})", true, settings));
  cr_expect(settings.catch_up == Duration(6000));
  for (const auto& [bounds, complaint] :
       {std::pair(R"({"catch_up_s":-1})", "time_bounds.catch_up_s is out of range"),
        {R"({"catch_up_s":"6"})", "time_bounds.catch_up_s is not a number"},
        {R"({})", "time_bounds.catch_up_s is missing"}}) {
    cr_expect(
        parse_node_settings(registry + R"(,"time_bounds":)" + bounds + "}", true, settings).step ==
            complaint,
        "%s", complaint);
    cr_expect(settings.catch_up == Duration(6000), "nothing changed");
  }
  cr_expect(parse_node_settings("{", false, settings).code == ErrorCode::unreadable);
  cr_expect(read_node_settings("/nowhere", false, settings).code == ErrorCode::unreadable);
}

Test(settings, the_operators_page_shows_every_field) {
  std::ifstream file(std::string(SADDLEWING_FIXTURES) + "/../../docs/operating.md");
  cr_assert(file.is_open());
  std::ostringstream page;
  page << file.rdbuf();
  const std::string table = render_setting_fields();
  cr_expect(page.str().find("\n\n" + table + "\n") != std::string::npos,
            "docs/operating.md lacks this table:\n%s", table.c_str());
}
