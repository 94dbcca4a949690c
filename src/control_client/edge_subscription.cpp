#include "control_client/edge_subscription.h"

#include <memory>

#include "protocol/control_messages.h"
#include "state/metrics.h"

namespace saddlewing {

void EdgeSubscription::add_to(SubscribeRequest& request, bool is_selected) {
  if (!notify_)
    return;
  request.edge_view_revision = revision_;
  for (const std::string& counts : reports_.take())
    sums_.merge(counts);
  if (is_selected)
    request.edge_counts = sums_.take();
}

void EdgeSubscription::handle_heartbeat(const ControlHeartbeat& heartbeat) {
  if (!notify_ || (!heartbeat.edge_view_in_force && heartbeat.edge_view.empty()))
    return;
  EdgeUpdate update{nullptr, heartbeat.edge_view_in_force};
  if (!heartbeat.edge_view.empty()) {
    auto view = std::make_shared<EdgeView>();
    if (decode_view(heartbeat.edge_view, *view) && view->revision >= revision_) {
      if (view->revision > revision_)
        update.view = view;
      revision_ = view->revision;
    } else {
      metrics().add(Metric::dropped_edge_frames);
    }
  }
  notify_(std::move(update));
}

}  // namespace saddlewing
