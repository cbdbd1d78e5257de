#pragma once

#include "base/timers.h"
#include "statements/statement.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// Confirms without the store that a primary had not been replaced, by the status of the databases
// of its group. That a database reports no later term proves nothing by itself: one that receives
// no updates does not learn of a promotion, and the promotion ends its pause. So a vote counts only
// if the database cannot be in that state, or is the one that would have been promoted.
//
// - A commit is confirmed by a majority that holds it: the primary, and replicas that were neither
//   in a later term nor paused for one when they reported its point. They received it from the
//   primary, after it was committed. Each must have run for long enough before the commit, as a
//   restart ends a pause before the promotion that it was for. Or it is confirmed by all databases
//   that hold it, as one of them would be promoted.
// - Leadership without a commit is confirmed by all databases of the group, as one of them would
//   have been promoted; or by a majority with replicas that received an entry beyond the position
//   that the primary reported after the request.
//
// A database that reports a later term denies both. A group of one database is never confirmed.
// Used while the records in the store cannot be read. Requests that wait at the same time share the
// status requests; a database that has confirmed all of them is not asked again.
//
//     evidence.confirmCommit({primary, point, sentAt}, onOutcome);
//     evidence.confirmLeadership(primary, onOutcome);
//
// One thread only. Destroying it drops the callbacks.
class TermEvidence
{
public:
    struct Outcome
    {
        // No other database led a later term at askedAt; for a commit, when it was committed.
        bool isConfirmed = false;

        // A majority answered, and no answer speaks against the primary. If isConfirmed is false,
        // only a write that reaches a replica is missing.
        bool isUncontested = false;

        // The databases that hold the commit; empty for leadership.
        std::vector<DatabaseId> holders = {};

        // When the request was made.
        Instant askedAt = {};

        // The term that the primary leads; 0 if it did not answer or does not lead.
        Term primaryTerm = {};

        // Log position of the primary at some moment after askedAt; empty if it did not answer or
        // does not lead.
        std::optional<LogPoint> primaryPosition = {};
    };

    // A database whose status is requested.
    struct Voter
    {
        DatabaseId database;

        // False for a database that is leaving: it counts towards the size of the group, but its
        // status confirms no commit, and leadership only if all databases do.
        bool counts = true;
    };

    // The databases whose status is requested, and the size of the group, which includes databases
    // that cannot be reached or are not known.
    struct Electorate
    {
        std::vector<Voter> voters;
        std::size_t size = 0;

        // Every database must confirm, as the known list of databases is too old.
        bool needsAllVotes = false;
    };

    // A commit to be confirmed.
    struct Commit
    {
        DatabaseId primary;
        LogPoint point;

        // When its statement was sent, or earlier.
        Instant sentAt;
    };

    using Done = std::function<void(const Outcome &)>;
    using StatusDone = std::function<void(const std::optional<UpstreamStatus> &)>;

    struct Options
    {
        Timers &timers;

        // The databases of the group, including the primary.
        std::function<Electorate()> electorate;

        // Requests the status of one database; calls back once, with nothing on failure.
        std::function<void(const DatabaseId &, StatusDone)> requestStatus;

        // Time after which a request ends unconfirmed.
        Duration timeout = std::chrono::milliseconds(400);

        // Delay of the status requests for a commit, as replicas receive it some milliseconds
        // after the primary. They are repeated after the first interval, which doubles each time up
        // to the longest one.
        Duration commitDelay = std::chrono::milliseconds(5);
        Duration commitInterval = std::chrono::milliseconds(10);
        Duration longestCommitInterval = std::chrono::milliseconds(50);

        // First interval at which replicas are asked again for an entry beyond the position of the
        // primary. It doubles each time: without writes no answer confirms anything, and status
        // requests occupy the databases.
        Duration leadershipInterval = std::chrono::milliseconds(30);
    };

    explicit TermEvidence(Options options);
    ~TermEvidence();

    // Confirms that the primary had not been replaced when it committed, and that no promotion that
    // was requested before drops the commit.
    void confirmCommit(const Commit &commit, Done done);

    // Confirms that primary leads now, in the term that it reports; it may have become primary
    // since the call.
    void confirmLeadership(const DatabaseId &primary, Done done);

    // One request, which decides which answers count; see evidencerequest.h.
    struct Request;

private:
    void add(Request request);
    void advance();
    void poll(const DatabaseId &database, Instant now);
    void answered(const DatabaseId &database, Instant polledAt,
                  const std::optional<UpstreamStatus> &status);
    void end();

    Options m_options;
    std::vector<Request> m_requests;

    // When each database may be asked again.
    std::map<DatabaseId, Instant> m_freeFrom;
    Timers::Id m_timer = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring
