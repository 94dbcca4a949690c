#include "coordination/discovery/renewal_window.h"

#include <utility>

namespace saddlewing {

void RenewalWindow::advance(TimePoint now) {
  if (now - period_started_ < period_)
    return;
  previous_ = std::exchange(current_, {});
  period_started_ = now;
}

}  // namespace saddlewing
