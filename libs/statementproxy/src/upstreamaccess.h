#pragma once

#include "statementproxy/upstreams.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// The connection pools of one database and this VM's share of its connections.
struct Upstreams::DatabasePools
{
    std::shared_ptr<DatabasePool> own;
    std::shared_ptr<RelayPool> relayed;

    // Whether this VM is one of the owners, and whether there are others.
    bool isOwner = true;
    bool hasOtherOwners = false;
    std::size_t owners = 1;

    // This VM's rank among the owners and the other observers, which follow them.
    std::size_t rank = 0;
    std::size_t observers = 1;

    // The other owners, best first. Computed on first use, as most databases are never used through
    // this VM.
    std::optional<std::vector<VmRecord>> otherOwners;

    // The owners by customer. Computed on first use.
    std::unique_ptr<CustomerOwners> customerOwners;

    std::optional<Instant> drainingSince;

    // When the database was found or last responded again; kept only if capacity is learned.
    Instant returnedAt;
    bool isResponsive = true;

    // What was last logged of the learned limit.
    LimitChange loggedChange = LimitChange::None;
    double loggedLimit = 0;

    // When each pool was last probed.
    Instant ownProbedAt;
    Instant relayedProbedAt;
    std::map<VmId, Instant> lenderProbedAt;
};

} // namespace fescuespring
