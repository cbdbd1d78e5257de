#pragma once

#include "groupview/groupview.h"

#include <optional>

namespace fescuespring {

// What a read needs.
struct ReadRequirements
{
    // Point of the session's token; position 0 without one.
    LogPoint point = {};

    // Set where data up to this age will do; of point it then only counts whether it is discarded.
    std::optional<std::chrono::milliseconds> maximumAge = {};

    // True for long work, which takes a slot of the primary only if no replica can serve it.
    bool isLong = false;

    // True for a request that another data centre sent here for a database of this one: it must not
    // be sent back.
    bool localOnly = false;

    // When the request came in, and when it must be answered.
    Instant receivedAt = {};
    Instant deadline = {};
};

enum class ReadAction {
    // Send the read to database.
    Serve,

    // Probe the group unless a probe is on its way; ask again as soon as a status arrives, and at
    // until.
    Wait,

    // Probe the group first, then ask again at until: the session has seen a term that this VM has
    // not.
    ProbeFirst,

    // Answer NotRun with reason and retryAfter.
    Refuse,
};

// Where a read goes.
struct ReadDecision
{
    ReadAction action = ReadAction::Refuse;
    DatabaseId database = {};
    bool byReplica = false;

    // With Serve at the primary: the term under which it reads, which must be confirmed to have
    // held at receivedAt or later before the answer is passed on.
    bool needsConfirmation = false;
    Term term = {};

    Instant until = {};
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0};
};

struct ReadRouterOptions
{
    DataCentreId dataCentre = {};

    // Statements that a database runs at once.
    unsigned slots = 3;

    // Reads that may be in flight at the primary where a replica could serve them by waiting; keeps
    // replicas that lag all at once from pushing every read on the primary.
    unsigned divertedReads = 1;

    // How often a waiting read looks again.
    Duration recheck = std::chrono::milliseconds(2);

    // Longest wait for a replica where its rate of catching up is not known.
    Duration assumedCatchUp = std::chrono::milliseconds(20);

    // Added to the cost of the primary for long work.
    Duration longWorkPenalty = std::chrono::minutes(1);

    // Added to the cost of the primary, as it alone takes the writes.
    Duration primaryPenalty = std::chrono::milliseconds(2);

    // A read that only the primary could serve now rather waits for a replica if that is expected
    // to take less than this.
    Duration maximumCatchUpWait{0};

    // Time of a statement and of a round trip before the first was measured.
    Duration assumedServiceTime = std::chrono::milliseconds(2);
    Duration assumedRoundTrip = std::chrono::milliseconds(2);

    // Told to callers that a refusal may pass.
    std::chrono::milliseconds retryAfter{200};
};

// Decides which database serves a read. A read with a token goes to any database whose log is
// known to hold the token's point; a read of stated age to any whose age is known and small enough;
// a read with neither to the primary, under confirmation. Among those it takes the one that is
// expected to answer first, and compares that with waiting for one that is not yet there.
//
//     const ReadDecision decision = router.route(view, need, now);
//     switch (decision.action) { ... }
class ReadRouter
{
public:
    explicit ReadRouter(ReadRouterOptions options);

    ReadDecision route(const GroupView &view, const ReadRequirements &need, Instant now) const;

private:
    ReadDecision routeByAge(const GroupView &view, const ReadRequirements &need, Instant now) const;
    ReadDecision routeByPoint(const GroupView &view, const ReadRequirements &need,
                              Instant now) const;
    ReadDecision routeToPrimary(const GroupView &view, Instant now) const;
    bool isExcluded(const DatabaseView &database, const ReadRequirements &need) const;
    Duration cost(const DatabaseView &database, bool isPrimary, const ReadRequirements &need) const;
    Duration catchUpTime(const DatabaseView &database, LogPoint point) const;
    ReadDecision refuse(Reason reason) const;

    ReadRouterOptions m_options;
};

// What to do with the answer to a read.
enum class ReadCheck {
    // Pass it on and advance the token to its point.
    Accept,

    // Drop it and route again: it shows less than the read needs, as the database was repointed
    // after the decision.
    RouteAgain,

    // Drop it and answer NotRun, HistoryDiscarded.
    Discarded,
};

// Checks the point that a read's answer shows against what the read needed. Reads of stated age
// are checked by GroupView::ageBound at the time of the answer instead.
ReadCheck checkRead(const GroupView &view, LogPoint needed, const StatementAnswer &answer);

} // namespace fescuespring
