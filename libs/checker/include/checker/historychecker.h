#pragma once

#include "messages/request.h"
#include "messages/upstream.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuespring {

// One request of a session as its caller saw it end. Every session counts up a key of its own: a
// write adds one to it and answers the new count, a read answers the count. Both also answer a mark
// that tells which request the answer belongs to; empty where there is none.
struct FinishedRequest
{
    RequestId id;
    SessionId session;
    Access access = Access::Read;
    Outcome outcome = Outcome::Unknown;
    std::uint64_t count = 0;
    RequestId answeredFor = {};

    // Of a write that is Done: whether a change of primary may not lose it, the term it was written
    // under, and whether another database had been promoted at a higher term before the VM had the
    // answer.
    bool isDurable = true;
    bool wasReplaced = false;
};

// One write as it stands in a log: the request it belongs to and the marks of all its statements.
struct LoggedWrite
{
    RequestId id;
    std::vector<RequestId> marks = {};
};

enum class ViolatedPromise {
    ReadYourWrites,
    MonotonicReads,
    LostWrite,
    ReplacedPrimary,
    RanTwice,
    NotRunButRan,
    MixedTransaction,
    WrongAnswer,
};

constexpr int promiseCount = static_cast<int>(ViolatedPromise::WrongAnswer) + 1;

const char *toString(ViolatedPromise promise);

struct Violation
{
    ViolatedPromise promise = ViolatedPromise::LostWrite;
    RequestId id;
};

// Checks a whole history of sessions against what the brief promises. It trusts no token and no
// term of the proxy: only what callers were told and what the logs hold in the end.
//
//     checker.finished(request);                 in each session's order
//     checker.discarded(write);                  logs of branches that were given up
//     for (const Violation &violation : checker.check(logOfTheLastPrimary))
//         report(violation);
class HistoryChecker
{
public:
    // Requests of one session must come in the order in which they ended; a session has one request
    // at a time. A request whose id is repeated after Unknown is told once for each try.
    void finished(const FinishedRequest &request);

    // The session was told that what it had seen was discarded; it may read less from now on, but
    // no less than its acknowledged writes.
    void toldOfDiscardedHistory(const SessionId &session);

    // A write that a log held and that was dropped.
    void discarded(const RequestId &id);

    // Everything that broke a promise; surviving is the log of the group's primary in the end.
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
