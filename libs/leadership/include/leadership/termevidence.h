#pragma once

#include "base/timers.h"
#include "statements/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// Confirms without the store that a primary had not been replaced: after its answer, a majority of
// the group was neither in a later term nor paused for one, and no database reported a later term.
// A promotion is requested only after a majority has paused for a later term, and any two
// majorities share a database. A group of one database is never confirmed. Used while the records
// in the store cannot be read. One round of status requests serves all callers that wait when it
// starts.
//
//     evidence.confirm(term, [](const TermEvidence::Outcome &outcome) {...});
//
// One thread only. Destroying it drops the callbacks.
class TermEvidence
{
public:
    struct Outcome
    {
        // No other database led a later term at askedAt.
        bool isConfirmed = false;

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
        // status confirms nothing.
        bool counts = true;
    };

    // The databases whose status is requested, and the size of the group, which includes databases
    // that cannot be reached.
    struct Electorate
    {
        std::vector<Voter> voters;
        std::size_t size = 0;

        // Every database must confirm, as the known list of databases is too old.
        bool needsAllVotes = false;
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

        // Time after which a database counts as unresponsive.
        Duration timeout = std::chrono::milliseconds(400);
    };

    explicit TermEvidence(Options options);
    ~TermEvidence();

    // Confirms that primary, which committed under term, still led at the time of this call. With
    // term 0, confirms that it leads now, in the term that it reports; it may have become primary
    // since the call.
    void confirm(const DatabaseId &primary, Term term, Done done);

private:
    struct Request
    {
        DatabaseId primary;
        Term term;
        Done done;
    };
    struct Answer
    {
        Voter voter;
        std::optional<UpstreamStatus> status;
    };
    struct Round;

    void begin();
    void addAnswer(const std::shared_ptr<Round> &round, Answer answer);
    void end(const std::shared_ptr<Round> &round);
    static bool supports(const Answer &answer, const DatabaseId &primary, Term term);
    static Outcome evaluate(const Round &round, const Request &request);

    Options m_options;
    std::vector<Request> m_waiting;
    std::shared_ptr<Round> m_round;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
