#include "protocol/cluster_status.h"

#include "protocol/message_fields.h"

namespace saddlewing {

constexpr ClusterStatus::Role last_enumerator(ClusterStatus::Role) {
  return ClusterStatus::Role::leader;
}

template <class Archive>
void describe_fields(Archive& archive,
                     typename Archive::template Reference<ClusterStatus::Peer> peer) {
  archive(peer.id, peer.address, peer.is_voter, peer.is_known, peer.is_matched);
  archive(peer.last_contact, peer.behind);
}

template <class Archive>
void describe_fields(Archive& archive, typename Archive::template Reference<ClusterStatus> status) {
  archive(status.node, status.self, status.address, status.role);
  archive(status.is_voter, status.is_removed, status.term);
  archive(status.leader, status.leader_last_contact);
  archive(status.has_committed, status.committed_term, status.committed);
  archive(status.last, status.leader_last, status.version, status.core_size);
  archive(status.is_confirmed, status.is_save_failing, status.is_save_stuck, status.saving);
  archive(status.peers);
}

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

std::string encode(const FrameHead& head, const ClusterStatus& status) {
  return encode_frame(head, FrameKind::cluster_status, status);
}

bool decode(ByteReader& reader, ClusterStatus& status) {
  return decode_fields(reader, status);
}

}  // namespace saddlewing
