#pragma once

#include "base/timers.h"
#include "statements/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace fescuespring {

// Shows by the databases themselves that a primary had not been replaced: after its answer, every
// other database of the group says that it knows of no later term. Serves where the store's records
// cannot be read. One round of questions serves all that wait when it begins.
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
    using Done = std::function<void(const Outcome &)>;
    using StatusDone = std::function<void(const std::optional<UpstreamStatus> &)>;

    struct Options
    {
        Timers &timers;

        // The databases of the group that could lead, the primary among them.
        std::function<std::vector<DatabaseId>()> databases;

        // Asks one database; answers once, with nothing where it failed.
        std::function<void(const DatabaseId &, StatusDone)> askStatus;

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
        DatabaseId database;
        std::optional<UpstreamStatus> status;
    };
    struct Round;

    void begin();
    void answered(const std::shared_ptr<Round> &round, Answer answer);
    void end(const std::shared_ptr<Round> &round);
    static Outcome judge(const Round &round, const Request &request);

    Options m_options;
    std::vector<Request> m_waiting;
    std::shared_ptr<Round> m_round;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
