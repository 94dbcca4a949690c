#pragma once
// JSON that the ring service exchanges with operators and with the nodes of the ring. Pure; the
// nodes' interface is described in docs/design/ring.md.
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/placement/ring_load_monitor.h"
#include "coordination/placement/shard_migration.h"
#include "state/hash_ring.h"

namespace saddlewing {

// The ring and its load, for an operator. `revision`: of the ring document. `missing_brokers`:
// connected brokers that sent no counts of late. Proposed moves are listed if `with_proposals`.
std::string ring_report_json(const RingMap& ring, std::uint64_t revision, const RingReport& report,
                             const std::vector<std::string>& missing_brokers, bool with_proposals);

// All moves and where they stand, for an operator. `placed_accounts`: how many accounts live
// elsewhere than the ring has them.
std::string ring_moves_json(const ShardMigration& migration, std::size_t placed_accounts);

// An order to a node of the ring. `other_address`: of the node at the other end of the move; empty
// if it does not serve.
std::string node_order_json(const ShardMigration::Order& order, const std::string& other_address);

}  // namespace saddlewing
