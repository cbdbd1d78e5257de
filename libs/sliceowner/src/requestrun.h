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

// State of one request at its owner.
struct RequestRun
{
    RunId id = 0;
    OwnerRequest ownerRequest;
    SessionToken token;
    PlanId planId;
    Durability durability = Durability::Replicated;
    ReadRequirements need;
    Instant deadline;
    std::optional<RequestLifecycle> life;
    unsigned reroutes = 0;

    // State of the current attempt.
    DatabaseId database;
    Term term;
    bool byReplica = false;
    bool needsConfirmation = false;
    std::optional<QueuedWork> queued;
    std::unique_ptr<ConnectionLease> lease;
    Instant sentAt;
    std::vector<std::string> results;
    StatementAnswer lastAnswer;

    // Set while the request is parked until a database status arrives or this time has come. The
    // reason is returned if the deadline passes first.
    std::optional<Instant> parkedUntil;
    Reason parkedReason = Reason::None;

    const CallerRequest &request() const
    {
        return ownerRequest.request;
    }
    bool isRead() const
    {
        return ownerRequest.request.access == Access::Read;
    }
};

} // namespace fescuespring
