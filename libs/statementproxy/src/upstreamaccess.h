#pragma once

#include "statementproxy/upstreams.h"

#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// The ways to one database.
struct Upstreams::Access
{
    std::shared_ptr<DatabasePool> own;
    std::shared_ptr<RelayPool> byOthers;

    // Whether this VM is to hold connections, and whether others are.
    bool isOwner = true;
    bool hasOtherOwners = false;
    std::size_t owners = 1;

    // This VM's place among the owners.
    std::size_t rank = 0;

    // The other owners, best first; worked out when one is asked for first, as most databases are
    // never used by way of this VM.
    std::optional<std::vector<VmRecord>> otherOwners;

    std::optional<Instant> drainingSince;

    // When each way was last probed.
    Instant ownProbedAt;
    Instant othersProbedAt;
};

} // namespace fescuespring
