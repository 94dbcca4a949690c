#include "registry/sent_bytes.h"

namespace saddlewing {
namespace {

constexpr std::string_view kind_names[] = {"raft",      "endpoints",   "renewals", "configuration",
                                           "heartbeat", "leaderships", "samples",  "other"};
constexpr std::string_view receiver_names[] = {"registry", "subscriber"};
constexpr const char* metric_name = "saddlewing_sent_bytes_total";

template <class Visit>
void for_each_counter(const SentBytes& counters, const Visit& visit) {
  for (std::size_t receiver = 0; receiver < std::size(receiver_names); ++receiver)
    for (std::size_t kind = 0; kind < std::size(kind_names); ++kind)
      visit(kind_names[kind], receiver_names[receiver],
            counters.get(static_cast<SentKind>(kind), static_cast<Receiver>(receiver)));
}

}  // namespace

SentKind sent_kind_of(const std::string& frame) {
  ByteReader reader(frame);
  FrameHead head;
  if (!decode_head(reader, head))
    return SentKind::other;
  switch (head.kind) {
    case FrameKind::raft:
      return SentKind::raft;
    case FrameKind::endpoint_list:
      return SentKind::endpoints;
    case FrameKind::renewed_ids:
      return SentKind::renewals;
    case FrameKind::configuration:
      return SentKind::configuration;
    case FrameKind::heartbeat:
      return SentKind::heartbeat;
    default:
      return SentKind::other;
  }
}

std::string SentBytes::page() const {
  std::string page = std::string("# HELP ") + metric_name +
                     " Bytes sent to other nodes, by kind and receiver.\n# TYPE " + metric_name +
                     " counter\n";
  for_each_counter(
      *this, [&](std::string_view kind, std::string_view receiver, std::uint64_t bytes) {
        page += std::string(metric_name) + "{kind=\"" + std::string(kind) + "\",receiver=\"" +
                std::string(receiver) + "\"} " + std::to_string(bytes) + "\n";
      });
  return page;
}

std::string SentBytes::text() const {
  std::string line;
  for_each_counter(*this, [&](std::string_view kind, std::string_view receiver,
                              std::uint64_t bytes) {
    if (bytes)
      line += " " + std::string(kind) + "/" + std::string(receiver) + "=" + std::to_string(bytes);
  });
  return line;
}

SentBytes& sent_bytes() {
  static SentBytes counters;
  return counters;
}

}  // namespace saddlewing
