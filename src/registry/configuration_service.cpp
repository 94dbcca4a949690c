#include "registry/configuration_service.h"

#include <glog/logging.h>

#include <utility>

#include "protocol/control_messages.h"
#include "protocol/forwarding_messages.h"
#include "protocol/frame.h"
#include "state/compression.h"
#include "state/invariants.h"
#include "state/metrics.h"

namespace saddlewing {
namespace {

constexpr std::size_t max_trace_steps = 128;

// A registry that sent a call back, as it does not lead, gets it again no sooner, unless another
// one was asked meanwhile.
constexpr Duration resend_pause{50};

}  // namespace

ConfigurationService::ConfigurationService(const NodeSettings& settings, ControlContext& context,
                                           PeerSender& peers, ConfigurationEnvironment& environment)
    : context_(context),
      peers_(peers),
      environment_(environment),
      own_address_(context.frame_head().from),
      calls_(context.frame_head().incarnation),
      rollout_(settings.rollout_wait),
      trace_(max_trace_steps) {
}

void ConfigurationService::handle_operator_call(OperatorCall call, TimePoint now) {
  if (!call.is_read)
    trace_.record(call.version, "taken", now);
  const std::uint64_t token = calls_.add(call.is_read, call.version, std::move(call.body),
                                         call.token, now + operator_call_timeout);
  if (context_.committed())
    calls_.find(token)->committed_before = context_.committed()->version;
}

void ConfigurationService::handle_forwarded_call(const FrameHead& from, ForwardedCall call,
                                                 TimePoint now) {
  if (!call.is_read)
    trace_.record(call.version, "passed on", now);
  calls_.add(std::move(call), from.from, from.incarnation, now + operator_call_timeout);
}

void ConfigurationService::handle_forwarded_reply(const FrameHead& from, ForwardedReply reply) {
  const std::uint64_t token = calls_.handle_reply(reply, from.from);
  // Not done: it leads no more, and whoever does is asked next.
  if (token != 0 && reply.is_done)
    finish_call(token, true, std::move(reply.body));
}

void ConfigurationService::handle_result(const RaftNode::Result& result) {
  PendingCalls::Call* call = calls_.find(result.token);
  if (!call)
    return;
  if (result.outcome == RaftNode::Outcome::done)
    finish_call(result.token, is_kept(*call, result), result.state ? result.state->body : "");
  else if (call->sent_to == own_address_)
    call->sent_to.clear();
}

// Whether what consensus calls done keeps what was promised before.
bool ConfigurationService::is_kept(const PendingCalls::Call& call,
                                   const RaftNode::Result& result) const {
  if (!call.is_read)
    return check_invariant(Invariant::acknowledged_is_committed, is_committed(call),
                           [&] { return "version " + std::to_string(call.version.value); });
  const Version read = result.state ? result.state->version : Version{};
  return check_invariant(Invariant::read_is_newest_known, read >= call.committed_before, [&] {
    return "version " + std::to_string(read.value) + " after " +
           std::to_string(call.committed_before.value);
  });
}

void ConfigurationService::route_calls(TimePoint now) {
  std::vector<std::uint64_t> committed;
  std::vector<std::uint64_t> failed;
  for (auto& [token, call] : calls_.calls()) {
    if (is_committed(call))
      committed.push_back(token);
    else if (now > call.deadline || !route(token, call, now))
      failed.push_back(token);
  }
  for (const std::uint64_t token : committed)
    finish_call(token, true, {});
  for (const std::uint64_t token : failed)
    finish_call(token, false, {});
}

bool ConfigurationService::is_committed(const PendingCalls::Call& call) const {
  const EntrySnapshot& committed = context_.committed();
  return !call.is_read && committed && committed->version >= call.version;
}

// Hands the call to the leader unless it has it already. False if the call was forwarded here and
// this registry does not lead.
bool ConfigurationService::route(std::uint64_t token, PendingCalls::Call& call, TimePoint now) {
  const std::string& leader = context_.leader_address();
  if (!call.sent_to.empty() && call.sent_to != leader && !leader.empty())
    call.sent_to.clear();
  if (!call.sent_to.empty())
    return true;
  if (context_.is_leader()) {
    start(token, call, now);
    return true;
  }
  if (!call.origin.empty())
    return false;
  const bool is_refusing = leader == call.refused_by && now < call.sent_at + resend_pause;
  if (!leader.empty() && !is_refusing) {
    call.sent_at = now;
    const ForwardedCall forwarded = calls_.send(token, leader, context_.term());
    peers_.send_to(leader, encode(context_.frame_head(), forwarded));
  }
  return true;
}

void ConfigurationService::start(std::uint64_t token, PendingCalls::Call& call, TimePoint now) {
  call.sent_to = own_address_;
  if (call.is_read)
    environment_.read_committed(token, now);
  else
    environment_.propose_configuration(call.version, call.body, token, now);
}

// `body`: what was read, or what the leader told. A change without one is acknowledged by what is
// committed here.
void ConfigurationService::finish_call(std::uint64_t token, bool is_done, std::string body) {
  const auto call = calls_.remove(token);
  if (!call)
    return;
  if (is_done && !call->is_read && body.empty() && context_.committed())
    body = make_acknowledgement(*context_.committed(), call->version, call->digest);
  if (call->origin.empty())
    return environment_.reply_to_operator({call->origin_token, is_done, std::move(body)});
  const ForwardedReply reply =
      PendingCalls::make_reply(*call, is_done, context_.term(), std::move(body));
  peers_.send_to(call->origin, encode(context_.frame_head(), reply));
}

void ConfigurationService::take_committed(TimePoint now) {
  const EntrySnapshot committed = context_.committed();
  if (!committed || committed == seen_entry_)
    return;
  const bool is_new_version = !seen_entry_ || seen_entry_->version != committed->version;
  seen_entry_ = committed;
  if (is_new_version && committed->version.value != 0)
    roll_out(*committed, now);
}

void ConfigurationService::roll_out(const Entry& committed, TimePoint now) {
  trace_.record(committed.version, "committed", now);
  rollout_.commit(committed.version, now);
  metrics().set(Metric::configuration_version, committed.version.value);
  LOG(INFO) << "agree: edition " << committed.version.value << " committed";
  ConfigurationSnapshot snapshot;
  if (Error found = read_configuration(committed.body, snapshot)) {
    LOG(ERROR) << "agree: committed configuration unreadable: " << found.text();
    return;
  }
  configuration_ = std::move(snapshot);
  packed_body_ = pack(committed.body);
  environment_.apply_configuration(*configuration_);
  environment_.notify_brokers(now);
  if (!environment_.held_versions().empty())
    trace_.record(committed.version, "sent", now);
}

void ConfigurationService::advance_rollout(TimePoint now) {
  if (!rollout_.is_pending() || (context_.is_leader() && !context_.is_leased(now)))
    return;
  const VersionRollout::Activation activation = rollout_.advance(environment_.held_versions(), now);
  if (activation == VersionRollout::Activation::none)
    return;
  trace_.record(rollout_.in_force(), name_of(activation), now);
  environment_.notify_brokers(now);
}

std::optional<ConfigurationPayload> ConfigurationService::payload_after(Version held) const {
  if (!configuration_ || configuration_->version <= held)
    return std::nullopt;
  return ConfigurationPayload{configuration_->version, packed_body_};
}

}  // namespace saddlewing
