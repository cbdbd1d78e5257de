#pragma once

#include "messages/request.h"
#include "messages/upstream.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuespring {

// One request of a session and its outcome for the caller. Every session has a counter of its own:
// a write increments it and returns the new count, a read returns the count. Both also return a
// mark that identifies the request the answer belongs to; empty if there is none.
struct FinishedRequest
{
    RequestId id;
    SessionId session;
    Access access = Access::Read;
    Outcome outcome = Outcome::Unknown;
    std::uint64_t count = 0;
    RequestId answeredFor = {};

    // Of a write that is Done: whether a change of primary must not lose it, and whether another
    // database had been promoted at a higher term before the VM received the answer.
    bool isDurable = true;
    bool wasReplaced = false;
};

// One write of a log: the request it belongs to and the marks of all its statements.
struct LoggedWrite
{
    RequestId id;
    std::vector<RequestId> marks = {};
};

enum class ViolatedGuarantee {
    ReadYourWrites,
    MonotonicReads,
    LostWrite,
    ReplacedPrimary,
    RanTwice,
    NotRunButRan,
    MixedTransaction,
    WrongAnswer,
};

constexpr int guaranteeCount = static_cast<int>(ViolatedGuarantee::WrongAnswer) + 1;

const char *toString(ViolatedGuarantee guarantee);

struct Violation
{
    ViolatedGuarantee guarantee = ViolatedGuarantee::LostWrite;
    RequestId id;
};

// Checks a whole history of sessions against the guarantees of the proxy. Uses none of the proxy's
// tokens and terms, only the replies to callers and the final contents of the logs.
//
//     checker.finished(request);                 in each session's order
//     checker.discarded(write);                  from the logs of discarded branches
//     for (const Violation &violation : checker.check(logOfTheLastPrimary))
//         report(violation);
class HistoryChecker
{
public:
    // Requests of one session must come in the order in which they ended; a session has one request
    // at a time. A request whose id is repeated after Unknown is reported once for each attempt.
    void finished(const FinishedRequest &request);

    // The session received a report that history it had read was discarded; it may read less from
    // now on, but no less than its acknowledged writes.
    void discardReported(const SessionId &session);

    // A write that was in a log and was dropped.
    void discarded(const RequestId &id);

    // All violations; surviving is the log of the group's last primary.
    std::vector<Violation> check(const std::vector<LoggedWrite> &surviving) const;

    std::size_t requests() const
    {
        return m_requests;
    }

private:
    void finishedWrite(const FinishedRequest &request);
    void finishedRead(const FinishedRequest &request);

    struct Session
    {
        std::uint64_t written = 0;
        std::uint64_t read = 0;
    };

    std::size_t m_requests = 0;
    std::map<SessionId, Session> m_sessions;
    std::set<RequestId> m_done;
    std::set<RequestId> m_notRun;
    std::set<RequestId> m_mayHaveRun;
    std::set<RequestId> m_discarded;
    std::vector<Violation> m_violations;
};

} // namespace fescuespring
