#pragma once

#include "databaseexecutor.h"
#include "requests/requestlife.h"
#include "routing/readrouter.h"
#include "session/sessiontoken.h"
#include "sliceowner/sliceowner.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// Identifies a request at one owner.
using RunId = std::uint64_t;

// Where one request stands at its owner.
struct RequestRun
{
    RunId id = 0;
    OwnerRequest owned;
    SessionToken token;
    PlanId planId;
    Durability durability = Durability::Replicated;
    ReadRequirements need;
    Instant deadline;
    std::optional<RequestLife> life;
    unsigned reroutes = 0;

    // Of the present attempt.
    DatabaseId database;
    Term term;
    bool byReplica = false;
    bool needsConfirmation = false;
    std::optional<QueuedWork> queued;
    std::unique_ptr<ConnectionLease> lease;
    Instant sentAt;
    std::vector<std::string> results;
    StatementAnswer last;

    // While it waits for a status or a moment, and why it is not run if neither comes in time.
    std::optional<Instant> parkedUntil;
    Reason parkedFor = Reason::None;

    const CallerRequest &request() const
    {
        return owned.request;
    }
    bool isRead() const
    {
        return owned.request.access == Access::Read;
    }
};

} // namespace fescuespring
