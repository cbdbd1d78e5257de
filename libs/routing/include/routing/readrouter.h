#pragma once

#include "groupview/groupview.h"

#include <optional>

namespace fescuespring {

// Requirements of a read.
struct ReadRequirements
{
    // Log point of the session token; position 0 without a token.
    LogPoint point = {};

    // Maximum age of the data for bounded-staleness reads; point is then only checked for being
    // discarded.
    std::optional<std::chrono::milliseconds> maximumAge = {};

    // True for long-running work, which uses the primary only if no replica can serve it.
    bool isLong = false;

    // True for a request that another data centre forwarded to a database of this one, which must
    // not be sent back.
    bool localOnly = false;

    // When the request was received, and when it must be answered.
    Instant receivedAt = {};
    Instant deadline = {};
};

enum class ReadAction {
    // Send the read to the database.
    Serve,

    // Probe the group unless a probe is in flight; route again when a status arrives, and at the
    // latest at until.
    Wait,

    // Probe the group, then route again at until: the session token has a term that this VM does
    // not know yet.
    ProbeFirst,

    // Reply NotRun with reason and retryAfter.
    Refuse,
};

// How to handle a read.
struct ReadDecision
{
    ReadAction action = ReadAction::Refuse;
    DatabaseId database = {};
    bool byReplica = false;

    // With Serve: the database's term. If needsConfirmation is set, the answer may be forwarded
    // only after a confirmation that the term was still current at receivedAt or later.
    bool needsConfirmation = false;
    Term term = {};

    Instant until = {};
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0};
};

struct ReadRouterOptions
{
    DataCentreId dataCentre = {};

    // Statements that a database runs concurrently.
    unsigned slots = 3;

    // Statements that may be in flight at the primary when it takes a read that a replica could
    // serve later. Keeps simultaneously lagging replicas from diverting all reads to the primary.
    unsigned maximumDivertedReads = 1;

    // Interval at which a waiting read is routed again.
    Duration recheckInterval = std::chrono::milliseconds(2);

    // Expected wait for a replica whose catch-up rate is unknown.
    Duration assumedCatchUp = std::chrono::milliseconds(20);

    // Added to the primary's cost for long-running work.
    Duration longWorkPenalty = std::chrono::minutes(1);

    // Added to the primary's cost for other reads, as only the primary can serve writes.
    Duration primaryPenalty = std::chrono::milliseconds(2);

    // A read that only the primary could serve now waits for a replica instead if the expected wait
    // is shorter than this.
    Duration maximumCatchUpWait{0};

    // Service and round-trip times used until the first measurement.
    Duration assumedServiceTime = std::chrono::milliseconds(2);
    Duration assumedRoundTrip = std::chrono::milliseconds(2);

    // Retry delay sent with temporary refusals.
    std::chrono::milliseconds retryAfter{200};
};

// Decides which database serves a read. A read with a token may run on any database whose log is
// known to contain the token's point, a read with a maximum age on any database whose age is known
// and small enough, and a read with neither on the primary, with confirmation. Selects the
// candidate with the lowest expected cost, and compares it with waiting for a database that is
// still behind.
//
//     const ReadDecision decision = router.route(view, need, now);
//     switch (decision.action) { ... }
class ReadRouter
{
public:
    explicit ReadRouter(ReadRouterOptions options);

    ReadDecision route(const GroupView &view, const ReadRequirements &requirements,
                       Instant now) const;

private:
    ReadDecision routeByAge(const GroupView &view, const ReadRequirements &requirements,
                            Instant now) const;
    ReadDecision routeByPoint(const GroupView &view, const ReadRequirements &requirements,
                              Instant now) const;
    ReadDecision routeToPrimary(const GroupView &view, Instant now) const;
    bool isExcluded(const DatabaseView &database, const ReadRequirements &requirements) const;
    Duration cost(const DatabaseView &database, bool isPrimary,
                  const ReadRequirements &requirements) const;
    Duration catchUpTime(const DatabaseView &database, LogPoint point) const;
    ReadDecision refuse(Reason reason) const;

    ReadRouterOptions m_options;
};

// How to handle the answer to a read.
enum class ReadCheck {
    // Forward it and advance the token to its point.
    Accept,

    // Drop it and route again: its point does not cover the required one, as the database was
    // repointed after the decision.
    RouteAgain,

    // Drop it and reply NotRun with HistoryDiscarded.
    Discarded,
};

// Checks the point of a read's answer against the required point. Reads with a maximum age are
// checked by GroupView::ageBound at the time of the answer instead.
ReadCheck checkRead(const GroupView &view, LogPoint requiredPoint, const StatementAnswer &answer);

} // namespace fescuespring
