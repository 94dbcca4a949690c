// Backends that send heartbeats themselves.
#include "registry/control_loop.h"

namespace saddlewing {
namespace {

constexpr Duration renewed_every{400};

}  // namespace

void ControlLoop::handle_backend_call(BackendCall& call, TimePoint now) {
  // A cancel that only a registry cut off from the others holds would be acknowledged and not
  // followed.
  const bool is_cancel = call.entry.phase != Phase::ready;
  if (!settings_.is_signing_up || (is_cancel && !raft_.is_confirmed(now)))
    return operator_api_->tell({call.token, false, {}});
  const std::string zone = call.entry.zone;
  registry_.sign(call.entry, now);
  if (is_cancel)
    registry_due_ = now;  // the others hear of it at once
  std::string body = "{}\n";
  if (zone != settings_.zone && !is_cancel)
    for (const auto& [address, peer] : peers_) {
      Address parsed;
      if (peer.zone != zone || now - peer.last_contact > whole_silence ||
          !parse_address(address, parsed))
        continue;
      body = "{\"next_beat_to\":\"" + Address{parsed.host, settings_.control.port}.text() + "\"}\n";
      break;
    }
  operator_api_->tell({call.token, true, body});
}

void ControlLoop::send_renewals(TimePoint now) {
  if (!settings_.is_signing_up || now < renewed_due_)
    return;
  renewed_due_ = now + renewed_every;
  const RenewedIds renewed = registry_.take_renewed(now);
  if (renewed.items.empty())
    return;
  const std::string bytes = encode(head(), renewed);
  for (const std::string& address : raft_.known_addresses())
    links_.send_to(address, bytes);
}

}  // namespace saddlewing
