#include "coordination/raft/pending_requests.h"

#include <algorithm>

#include "coordination/raft/pending_calls.h"

namespace saddlewing {

bool PendingRequests::has_change_to(Version version) const {
  return std::any_of(proposals_.begin(), proposals_.end(), [&](const Proposal& proposal) {
    return !proposal.document.empty() || proposal.version > version;
  });
}

void PendingRequests::apply_to(Entry& entry) {
  for (Proposal& proposal : proposals_) {
    if (!proposal.document.empty()) {
      entry.documents[proposal.document] = std::move(proposal.text);
    } else if (proposal.version > entry.version) {
      std::string& orders = entry.documents[accepted_document];
      orders = record_accepted(orders, proposal.version, digest_of(proposal.body));
      entry.version = proposal.version;
      entry.body = std::move(proposal.body);
    }
    in_flight_tokens_.push_back(proposal.token);
  }
  proposals_.clear();
}

void PendingRequests::finish_in_flight() {
  for (const std::uint64_t token : in_flight_tokens_)
    results_.push_back({token, RequestOutcome::done, nullptr});
  in_flight_tokens_.clear();
}

void PendingRequests::finish_pending() {
  for (const Proposal& proposal : proposals_)
    results_.push_back({proposal.token, RequestOutcome::done, nullptr});
  proposals_.clear();
}

void PendingRequests::fail_all() {
  for (const std::uint64_t token : in_flight_tokens_)
    refuse(token);
  for (const Proposal& proposal : proposals_)
    refuse(proposal.token);
  for (const Read& read : reads_)
    refuse(read.token);
  in_flight_tokens_.clear();
  proposals_.clear();
  reads_.clear();
}

}  // namespace saddlewing
