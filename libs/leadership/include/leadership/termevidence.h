#pragma once

#include "base/timers.h"
#include "statements/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// Shows by the databases themselves that a primary had not been replaced: after its answer, a
// majority of the group says that it knows of no later term. No order to promote goes out before a
// majority holds for a later term, and any two majorities share a database. Serves where the
// store's records cannot be read. One round of questions serves all that wait when it begins.
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

        // The term that the primary leads; 0 if it did not answer, or does not lead.
        Term primaryTerm = {};

        // Where the primary was at some moment after askedAt; nothing as above.
        std::optional<LogPoint> primaryPosition = {};
    };

    // A database that is asked.
    struct Voter
    {
        DatabaseId database;

        // One that is leaving counts as one of the group and vouches for nothing.
        bool mayVouch = true;
    };

    // Who is asked, and how many databases there are, those among them that cannot be asked.
    struct Electorate
    {
        std::vector<Voter> voters;
        std::size_t size = 0;

        // Every database must vouch, as what is known of the group is too old.
        bool needsAllVotes = false;
    };

    using Done = std::function<void(const Outcome &)>;
    using StatusDone = std::function<void(const std::optional<UpstreamStatus> &)>;

    struct Options
    {
        Timers &timers;

        // The databases of the group, the primary among them.
        std::function<Electorate()> electorate;

        // Asks one database; answers once, with nothing where it failed.
        std::function<void(const DatabaseId &, StatusDone)> requestStatus;

        // Silence after which a database counts as not having answered.
        Duration timeout = std::chrono::milliseconds(400);
    };

    explicit TermEvidence(Options options);
    ~TermEvidence();

    // Whether primary, which committed under term, still led when this was called. Term 0: whether
    // it leads now, by its own word and that of the others; it may have begun to since the call.
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
    void answered(const std::shared_ptr<Round> &round, Answer answer);
    void end(const std::shared_ptr<Round> &round);
    static bool vouches(const Answer &answer, const DatabaseId &primary, Term term);
    static Outcome judge(const Round &round, const Request &request);

    Options m_options;
    std::vector<Request> m_waiting;
    std::shared_ptr<Round> m_round;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
