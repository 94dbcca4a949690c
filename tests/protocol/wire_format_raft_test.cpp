// The bytes of Raft messages and of the core's status, against fixtures.
#include "coordination/raft/entry_delta.h"
#include "protocol/cluster_status.h"
#include "protocol/frame.h"
#include "protocol/frame_checks.h"
#include "protocol/raft_messages.h"

using namespace saddlewing;
using namespace saddlewing::tests;

namespace {

using Type = RaftMessage::Type;

struct NamedType {
  Type type;
  const char* name;
};

constexpr NamedType raft_types[] = {
    {Type::pre_vote, "raft_pre_vote"},
    {Type::pre_vote_reply, "raft_pre_vote_answer"},
    {Type::request_vote, "raft_request_vote"},
    {Type::request_vote_reply, "raft_request_vote_answer"},
    {Type::append_entries, "raft_append_entries"},
    {Type::append_entries_reply, "raft_append_entries_answer"},
    {Type::timeout_now, "raft_transfer_leader"},
    {Type::join, "raft_join"},
    {Type::join_reply, "raft_join_answer"},
    {Type::leave, "raft_leave"},
    {Type::leave_reply, "raft_leave_answer"},
};

EntryChunk full_chunk() {
  EntryChunk chunk;
  chunk.term = {201};
  chunk.index = {202};
  chunk.version = {203};
  chunk.core_size = 204;
  chunk.members = {{MemberId{205}, "10.0.0.1:7400"}, {MemberId{206}, "10.0.0.2:7400"}};
  chunk.outgoing = {{MemberId{207}, "10.0.0.3:7400"}};
  chunk.base_term = {208};
  chunk.base_index = {209};
  chunk.body = {210, 211, 212};
  chunk.documents = {213, 214, 215};
  chunk.digest = 216;
  chunk.total = 217;
  chunk.offset = 218;
  chunk.bytes = std::string("piece \0 bytes", 13);
  return chunk;
}

RaftMessage full_message(Type type) {
  RaftMessage message;
  message.type = type;
  message.from = {221};
  message.address = "10.0.0.4:7400";
  message.term = {222};
  message.last_log_term = {223};
  message.last_log_index = {224};
  message.commit_index = {225};
  message.heartbeat_round = 226;
  message.is_granted = true;
  message.is_leadership_transfer = true;
  message.is_removed = true;
  message.is_confirmed = true;
  message.chunk = full_chunk();
  message.chunk_entry_index = {227};
  message.chunk_end_offset = 228;
  message.wants_full_entry = true;
  message.members = {{MemberId{229}, "10.0.0.5:7400"}, {MemberId{230}, "10.0.0.6:7400"}};
  message.leader_address = "10.0.0.7:7400";
  return message;
}

ClusterStatus full_status() {
  ClusterStatus status;
  status.node = "node a";
  status.self = {241};
  status.address = "10.0.0.1:7400";
  status.role = ClusterStatus::Role::leader;
  status.is_voter = true;
  status.is_removed = true;
  status.term = {242};
  status.leader = "10.0.0.2:7400";
  status.leader_last_contact = 243;
  status.has_committed = true;
  status.committed_term = {244};
  status.committed = {245};
  status.last = {246};
  status.leader_last = {247};
  status.version = {248};
  status.core_size = 249;
  status.is_confirmed = true;
  status.is_save_failing = true;
  status.is_save_stuck = true;
  status.saving = 250;
  status.peers = {{MemberId{251}, "10.0.0.3:7400", true, false, false, 252, 253},
                  {MemberId{254}, "10.0.0.4:7400", false, true, false, 255, 256},
                  {MemberId{257}, "10.0.0.5:7400", false, false, true, 258, 259}};
  return status;
}

}  // namespace

Test(wire_format, raft_messages_of_every_type) {
  for (const NamedType& row : raft_types) {
    const std::string name = row.name;
    check_frame(name + "_full", FrameKind::raft, full_message(row.type));
    RaftMessage empty;
    empty.type = row.type;
    check_frame(name + "_empty", FrameKind::raft, empty);
  }
}

Test(wire_format, raft_flags) {
  check_flag("raft_only_granted", FrameKind::raft, &RaftMessage::is_granted);
  check_flag("raft_only_transfer", FrameKind::raft, &RaftMessage::is_leadership_transfer);
  check_flag("raft_only_removed", FrameKind::raft, &RaftMessage::is_removed);
  check_flag("raft_only_confirmed", FrameKind::raft, &RaftMessage::is_confirmed);
  check_flag("raft_only_wants_whole", FrameKind::raft, &RaftMessage::wants_full_entry);
  RaftMessage chunk_alone;
  chunk_alone.chunk.emplace();
  check_frame("raft_only_blank_piece", FrameKind::raft, chunk_alone);
}

Test(wire_format, an_unknown_raft_type_is_refused) {
  RaftMessage message;
  message.type = static_cast<Type>(static_cast<std::uint64_t>(Type::leave_reply) + 1);
  FrameHead head;
  RaftMessage decoded;
  cr_expect(!decodes_as(encode(frame_sender(), message), head, decoded));
}

Test(wire_format, cluster_status) {
  expect_fixture(frame_fixture("core_status_request"),
                 encode_cluster_status_request(frame_sender()));
  const std::string request = read_fixture(frame_fixture("core_status_request"));
  ByteReader reader(request);
  FrameHead head;
  cr_expect(decode_head(reader, head) && reader.is_complete() &&
            head.kind == FrameKind::cluster_status_request);
  check_frame("core_status_full", FrameKind::cluster_status, full_status());
  check_frame("core_status_empty", FrameKind::cluster_status, ClusterStatus{});
  check_flag("core_status_only_voter", FrameKind::cluster_status, &ClusterStatus::is_voter);
  check_flag("core_status_only_removed", FrameKind::cluster_status, &ClusterStatus::is_removed);
  check_flag("core_status_only_has_committed", FrameKind::cluster_status,
             &ClusterStatus::has_committed);
  check_flag("core_status_only_confirmed", FrameKind::cluster_status, &ClusterStatus::is_confirmed);
  check_flag("core_status_only_save_failing", FrameKind::cluster_status,
             &ClusterStatus::is_save_failing);
  check_flag("core_status_only_save_stuck", FrameKind::cluster_status,
             &ClusterStatus::is_save_stuck);
}

Test(wire_format, core_status_roles) {
  using Role = ClusterStatus::Role;
  for (const Role role : {Role::follower, Role::pre_candidate, Role::candidate, Role::leader}) {
    ClusterStatus status;
    status.role = role;
    check_frame(std::string("core_status_role_") + name_of(role), FrameKind::cluster_status,
                status);
  }
}
