#include "checker/historychecker.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::array guaranteeNames{"read-your-writes",  "monotonic-reads", "lost-write",
                                    "replaced-primary",  "ran-twice",       "not-run-but-ran",
                                    "mixed-transaction", "wrong-answer"};

} // namespace

const char *toString(ViolatedGuarantee guarantee)
{
    return guaranteeNames[static_cast<std::size_t>(guarantee)];
}

void HistoryChecker::finished(const FinishedRequest &request)
{
    ++m_requests;
    const bool isAnswered = request.outcome == Outcome::Done;
    if (isAnswered && !request.answeredFor.isEmpty() && request.answeredFor != request.id)
        m_violations.push_back({ViolatedGuarantee::WrongAnswer, request.id});
    if (request.access == Access::Write)
        finishedWrite(request);
    else if (isAnswered)
        finishedRead(request);
}

void HistoryChecker::finishedWrite(const FinishedRequest &request)
{
    switch (request.outcome) {
    case Outcome::NotRun:
        m_notRun.insert(request.id);
        return;
    case Outcome::Unknown:
        m_mayHaveRun.insert(request.id);
        return;
    case Outcome::Done:
        break;
    }
    m_mayHaveRun.insert(request.id);
    if (request.isDurable)
        m_done.insert(request.id);
    if (request.wasReplaced)
        m_violations.push_back({ViolatedGuarantee::ReplacedPrimary, request.id});
    Session &session = m_sessions[request.session];
    session.written = std::max(session.written, request.count);
}

void HistoryChecker::finishedRead(const FinishedRequest &request)
{
    Session &session = m_sessions[request.session];
    if (request.count < session.written)
        m_violations.push_back({ViolatedGuarantee::ReadYourWrites, request.id});
    else if (request.count < session.read)
        m_violations.push_back({ViolatedGuarantee::MonotonicReads, request.id});
    session.read = std::max(session.read, request.count);
}

void HistoryChecker::discardReported(const SessionId &session)
{
    m_sessions[session].read = 0;
}

void HistoryChecker::discarded(const RequestId &id)
{
    m_discarded.insert(id);
}

std::vector<Violation> HistoryChecker::check(const std::vector<LoggedWrite> &surviving) const
{
    std::vector<Violation> violations = m_violations;
    std::set<RequestId> ran;
    for (const LoggedWrite &write : surviving) {
        if (!ran.insert(write.id).second)
            violations.push_back({ViolatedGuarantee::RanTwice, write.id});
        const bool isWhole = std::all_of(write.marks.begin(), write.marks.end(),
                                         [&](const RequestId &mark) { return mark == write.id; });
        if (!isWhole)
            violations.push_back({ViolatedGuarantee::MixedTransaction, write.id});
    }
    for (const RequestId &id : m_done) {
        if (!ran.contains(id))
            violations.push_back({ViolatedGuarantee::LostWrite, id});
    }
    for (const RequestId &id : m_notRun) {
        const bool didRun = ran.contains(id) || m_discarded.contains(id);
        if (didRun && !m_mayHaveRun.contains(id))
            violations.push_back({ViolatedGuarantee::NotRunButRan, id});
    }
    return violations;
}

} // namespace fescuespring
