#pragma once
// The number of brokers in the cluster, agreed between the registries.
//
// After all processes lost power, each broker is the first that a registry hears of, and would take
// the whole capacity of the backends for itself. For a while after its start a registry therefore
// tells brokers the number that there was before. Used by the control thread only.
#include <cstddef>
#include <cstdint>

#include "registry/control_context.h"
#include "state/types.h"

namespace saddlewing {

class BrokerCountMemory {
 public:
  // `context` must outlive this object. `started_at`: when this registry started.
  BrokerCountMemory(ControlContext& context, TimePoint started_at)
      : context_(context), started_at_(started_at) {
  }

  // The number to tell brokers while `connected` of them are subscribed here.
  std::uint64_t estimate(std::size_t connected, TimePoint now) const;
  // Reads the committed number; a leader proposes another one once `connected` has differed from it
  // by more than a quarter for four seconds.
  void tick(std::size_t connected, TimePoint now);

 private:
  void read_committed();
  bool is_starting(TimePoint now) const;

  ControlContext& context_;
  const TimePoint started_at_;
  std::uint64_t committed_count_ = 0;  // 0: none was committed yet
  TimePoint last_agreement_{};         // when `connected` last was near the committed number
};

}  // namespace saddlewing
