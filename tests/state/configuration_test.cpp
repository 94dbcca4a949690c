#include <criterion/criterion.h>

#include "protocol/frame.h"
#include "protocol/raft_messages.h"
#include "state/configuration.h"

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
