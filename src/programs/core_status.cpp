// The agree thread's answer to an operator who asks how the core is.
#include "programs/core.h"

namespace saddlewing {

void Core::tell_status(const std::string& route, Moment now) {
  CoreStatus status = agreement_.status(now);
  status.node = startup_.node_name;
  hub_.send(route, encode(head(), status));
}

}  // namespace saddlewing
