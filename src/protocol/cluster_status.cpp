#include "protocol/cluster_status.h"

namespace saddlewing {

const char* name_of(ClusterStatus::Role role) {
  switch (role) {
    case ClusterStatus::Role::follower:
      return "follower";
    case ClusterStatus::Role::pre_candidate:
      return "pre-candidate";
    case ClusterStatus::Role::candidate:
      return "candidate";
    case ClusterStatus::Role::leader:
      break;
  }
  return "leader";
}

std::string encode_cluster_status_request(const FrameHead& head) {
  return open_frame(head, FrameKind::cluster_status_request).take();
}

std::string encode(const FrameHead& head, const ClusterStatus& value) {
  Writer writer = open_frame(head, FrameKind::cluster_status);
  writer.text(value.node)
      .number(value.self.value)
      .text(value.address)
      .number(static_cast<std::uint64_t>(value.role))
      .number(value.is_voter)
      .number(value.is_removed);
  writer.number(value.term.value)
      .text(value.leader)
      .number(value.leader_last_contact)
      .number(value.has_committed)
      .number(value.committed_term.value);
  writer.number(value.committed.value)
      .number(value.last.value)
      .number(value.leader_last.value)
      .number(static_cast<std::uint64_t>(value.version.value));
  writer.number(value.core_size)
      .number(value.is_confirmed)
      .number(value.is_save_failing)
      .number(value.is_save_stuck)
      .number(value.saving);
  writer.number(value.peers.size());
  for (const ClusterStatus::Peer& peer : value.peers) {
    writer.number(peer.id.value).text(peer.address).number(peer.is_voter).number(peer.is_known);
    writer.number(peer.is_matched).number(peer.last_contact).number(peer.behind);
  }
  return writer.take();
}

bool decode(ByteReader& reader, ClusterStatus& value) {
  value.node = reader.text();
  value.self.value = reader.number();
  value.address = reader.text();
  const std::uint64_t role = reader.number();
  if (role > static_cast<std::uint64_t>(ClusterStatus::Role::leader))
    return false;
  value.role = static_cast<ClusterStatus::Role>(role);
  value.is_voter = reader.number();
  value.is_removed = reader.number();
  value.term.value = reader.number();
  value.leader = reader.text();
  value.leader_last_contact = reader.number();
  value.has_committed = reader.number();
  value.committed_term.value = reader.number();
  value.committed.value = reader.number();
  value.last.value = reader.number();
  value.leader_last.value = reader.number();
  value.version.value = static_cast<std::int64_t>(reader.number());
  value.core_size = static_cast<std::uint32_t>(reader.number());
  value.is_confirmed = reader.number();
  value.is_save_failing = reader.number();
  value.is_save_stuck = reader.number();
  value.saving = reader.number();
  value.peers.resize(reader.count(56));
  for (ClusterStatus::Peer& peer : value.peers) {
    peer.id.value = reader.number();
    peer.address = reader.text();
    peer.is_voter = reader.number();
    peer.is_known = reader.number();
    peer.is_matched = reader.number();
    peer.last_contact = reader.number();
    peer.behind = reader.number();
  }
  return reader.is_complete();
}

}  // namespace saddlewing
