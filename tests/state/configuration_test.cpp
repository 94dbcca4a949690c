#include <criterion/criterion.h>

#include "protocol/raft_messages.h"
#include "state/configuration.h"
#include "state/node_settings.h"

using namespace saddlewing;

namespace {

const std::string services =
    R"("services":[{"name":"s","health_path":"/w","most_connections":5},{"name":"t"}])";

std::string configuration(const std::string& route, const std::string& rest = "") {
  return R"({"version":7,"routes":[)" + route + "]," + services + rest + "}";
}

std::string complaint(const std::string& body) {
  ConfigurationSnapshot snapshot;
  return read_configuration(body, snapshot).step;
}

}  // namespace

Test(frames, one_cut_short_anywhere_is_dropped) {
  RaftMessage message;
  message.type = RaftMessage::Type::append_entries;
  message.chunk.emplace().bytes = "four";
  message.chunk->outgoing = {{MemberId{2}, "b"}};
  message.members = {{MemberId{1}, "a"}};
  const std::string bytes = encode({FrameKind::raft, IncarnationId{9}, "10.0.0.1:7"}, message);
  const auto is_read = [](std::string_view frame) {
    ByteReader reader(frame);
    FrameHead head;
    RaftMessage read;
    return decode_head(reader, head) && head.kind == FrameKind::raft && decode(reader, read) &&
           read.chunk->bytes == "four" &&
           read.chunk->outgoing == std::vector<Member>{{MemberId{2}, "b"}};
  };
  cr_expect(is_read(bytes));
  cr_expect(!is_read(bytes + "x"));
  for (std::size_t size = 0; size < bytes.size(); ++size)
    cr_expect(!is_read(std::string_view(bytes).substr(0, size)));
}

Test(configuration, a_proper_one_is_indexed) {
  ConfigurationSnapshot snapshot;
  const std::string body = configuration(
      R"({"host":"H.example","path_start":"/a/","sort":"risky","give_up_ms":100,"service":"s"},)"
      R"({"host":"h.example","path_start":"/a/b/","sort":"harmless","give_up_ms":100,"ask_all":["s","t"],"best_count":5,"fewest_parts":0.5,"tries":2})");
  cr_assert(!read_configuration(body, snapshot));
  cr_expect(snapshot->body == body);
  cr_expect(snapshot->match("h.EXAMPLE:80", "/a/b/c") == &snapshot->routes[1]);
  cr_expect(snapshot->match("h.example", "/a/x?/a/b/") == &snapshot->routes[0]);
  cr_expect(snapshot->match("h.example", "/ax/") == nullptr);
  cr_expect(snapshot->match("other", "/a/") == nullptr);
}

Test(configuration, what_is_wrong_is_named) {
  const std::string good =
      R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":100,"service":"s"})";
  const struct {
    std::string body, complaint;
  } rows[] = {
      {configuration(good).substr(0, 60), "configuration is not proper JSON"},
      {configuration(good) + "x", "configuration is not proper JSON"},
      {configuration(good, R"(,"version":8)"), "configuration is not proper JSON"},
      {R"([1])", "configuration is not an object"},
      {configuration(good + "," + good), "routes[1].has the host and path_start of another"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":100,"service":"u"})"),
       "routes[0].service names an unknown service"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":0,"service":"s"})"),
       "routes[0].give_up_ms is out of range"},
      {configuration(
           R"({"host":"h","path_start":"a/","sort":"harmless","give_up_ms":9,"service":"s"})"),
       "routes[0].path_start does not start and end with a slash"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"odd","give_up_ms":9,"service":"s"})"),
       "routes[0].sort is none of harmless, risky, leader, bounded, own_writes"},
      {configuration(R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":9})"),
       "routes[0].needs exactly one of service, shares, ask_all"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":9,"service":"s","ask_all":["s"]})"),
       "routes[0].needs exactly one of service, shares, ask_all"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":9,"shares":[{"service":"s","weight":0}]})"),
       "routes[0].shares has weights that sum to 0"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":9,"ask_all":["s"],"best_count":0,"fewest_parts":1})"),
       "routes[0].best_count is out of range"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":9,"ask_all":["s"],"best_count":1,"fewest_parts":0})"),
       "routes[0].fewest_parts is out of range"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":9,"service":"s","tries":0})"),
       "routes[0].tries is out of range"},
      {configuration(
           R"({"host":"h","path_start":"/","sort":"bounded","give_up_ms":9,"service":"s"})"),
       "routes[0].read_age_ms is missing"},
      {configuration(
           R"({"host":"h","path_start":"/","sort":"leader","give_up_ms":9,"ask_all":["s"],"best_count":1,"fewest_parts":1})"),
       "routes[0].a database needs one service"},
      {configuration(
           R"({"host":"h","path_start":"/a/","sort":"harmless","give_up_ms":"9","service":"s"})"),
       "routes[0].give_up_ms is not a whole number"},
  };
  for (const auto& row : rows)
    cr_expect(complaint(row.body) == row.complaint, "%s: %s", row.body.c_str(),
              complaint(row.body).c_str());
  cr_expect(complaint(configuration(good)).empty());
  cr_expect(!complaint(std::string(100000, '[')).empty());
}

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
