#pragma once

#include "grouptask.h"
#include "leadership/successorchoice.h"

#include <set>

namespace fescuespring::detail {

// One change of primary of one group, from the announcement to the record of the new primary.
class LeadershipChange : public GroupTask<LeadershipChange>
{
public:
    struct Options
    {
        bool isPlanned = false;

        // A term that a database has reported; 0 if none.
        Term seenTerm = {};

        // The databases have shown that no promotion request of another holder is in flight.
        bool hasNoOtherPromoter = false;
    };

    LeadershipChange(Succession &owner, GroupId group, Options options);

    void start();

private:
    friend class GroupTask<LeadershipChange>;

    // Pause between two attempts of a step, and time limit of a command to a database.
    static constexpr Duration stepRetry = std::chrono::milliseconds(50);
    static constexpr Duration commandTimeout = std::chrono::milliseconds(250);

    // Longest wait for a candidate that has the whole log of the stopped primary and is not
    // draining.
    static constexpr Duration catchUpTime = std::chrono::milliseconds(600);

    const char *reasonToEnd() const;
    void requestTerms();
    void announceIfTermKnown();
    std::uint32_t synchronousReplicas() const;
    void awaitSuccessor();
    void evaluateSuccessors(const DatabaseAnswers &answers);
    void announce();
    void announced();
    void promoteWhenSafe(const DatabaseAnswers &answers);
    void queryWhenRecordsObsolete();
    bool isPromotionPending() const;
    void stopWhenSafe();
    bool mayPromote() const;
    bool areOldRecordsObsolete() const;
    bool haveAllRead() const;
    void stopPreviousPrimary();
    void queryDatabases();
    void query(const std::vector<SuccessionCandidate> &candidates, bool mustPause,
               void (LeadershipChange::*evaluate)(const DatabaseAnswers &));
    void evaluateAnswers(const DatabaseAnswers &answers);
    SuccessorChoice successorChoice() const;
    bool previousLeadsAgain(const DatabaseAnswers &answers);
    bool adoptLaterTerm(const DatabaseAnswers &answers);
    void awaitTerm(const DatabaseAnswers &answers);
    void keepReturnedPrimary(const DatabaseId &database, const DatabaseAnswers &answers);
    bool resumePaused(const DatabaseAnswers &answers);
    void awaitAcknowledgedCommits(const DatabaseAnswer &best, const DatabaseAnswers &answers);
    void promote(const DatabaseId &database);
    bool holdsToken(std::uint64_t fencingToken) const;
    void promotionAnswered(PromotionOutcome outcome);
    void awaitPromotion();
    void promoted(Term term);
    void recordPrimary(const DatabaseId &database, Term term, std::optional<LogPoint> base);
    std::optional<LogPoint> knownBase() const;
    void end(const char *outcome);

    Options m_options;
    Instant m_announcedAt;

    // VMs that may hold a lease without having read the announcement; empty until known.
    std::optional<std::vector<VmIncarnation>> m_leaseHolders;
    LeadershipRecord m_record;
    Term m_previousTerm;
    bool m_isTermDetermined = false;

    // The position of a primary that is leaving and still serves, as last reported.
    std::optional<LogPoint> m_servingPosition;
    bool m_hasLoggedWait = false;
    std::optional<LogPoint> m_previousPosition;
    Instant m_catchUpUntil;
    bool m_isCatchUpOver = false;

    // When the last round of replies began, and whether VMs had stopped relying on old records
    // then.
    Instant m_roundBeganAt;
    bool m_wereRecordsObsolete = false;

    // The previous primary did not answer; the next query leaves it out.
    bool m_isPreviousUnresponsive = false;

    // The next query pauses no replica, as the replicas are being resumed; or as the promotion of
    // an earlier holder may have taken effect: a pause would outlast it.
    bool m_mustNotPause = false;
    DatabaseId m_chosen;

    // The last entry of its log, and whether that lacks the previous term.
    LogPoint m_chosenPosition;
    bool m_isDiscardingTerm = false;
    Instant m_promotionRequestedAt;

    // The status last reported by the chosen database, for the log.
    std::string m_lastStatusRow;
    std::set<DatabaseId> m_refused;
};

} // namespace fescuespring::detail
