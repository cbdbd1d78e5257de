#include "fescuebench/loadrunner.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace fescuespring {

namespace {

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

LoadRunner::LoadRunner(EventLoop &loop, const LoadWorkload &workload, std::vector<Arrival> plan,
                       RequestSender &sender, std::vector<LoadRecorder *> recorders,
                       std::string prefix)
    : m_loop(loop)
    , m_workload(workload)
    , m_plan(std::move(plan))
    , m_sender(sender)
    , m_recorders(std::move(recorders))
    , m_prefix(std::move(prefix))
    , m_open(m_plan.size())
{
    std::uint32_t sessions = 0;
    for (Arrival &arrival : m_plan) {
        sessions = std::max(sessions, arrival.session + 1);
        arrival.request.id = RequestId(m_prefix + arrival.request.id.value());
        arrival.request.session = SessionId(m_prefix + arrival.request.session.value());
    }
    m_sessions.resize(sessions);
}

LoadEnd LoadRunner::run(Duration limit)
{
    if (m_plan.empty())
        return {};
    m_running = std::make_shared<bool>(true);
    m_start = EventLoop::now();
    const auto end = m_loop.after(m_plan.back().at + limit, [this] { m_loop.stop(); });
    sendDue();
    m_loop.run();
    m_loop.cancel(end);
    m_running.reset();
    return {m_faults, m_open};
}

void LoadRunner::sendDue()
{
    const Duration now = EventLoop::now() - m_start;
    while (m_next < m_plan.size() && m_plan[m_next].at <= now)
        arrive(m_next++);
    if (m_next < m_plan.size())
        m_loop.after(m_plan[m_next].at - now, [this, running = std::weak_ptr(m_running)] {
            if (!running.expired())
                sendDue();
        });
}

void LoadRunner::arrive(std::size_t place)
{
    Session &session = m_sessions[m_plan[place].session];
    if (session.busy)
        session.waiting.push_back(place);
    else
        send(place);
}

void LoadRunner::send(std::size_t place)
{
    const Arrival &arrival = m_plan[place];
    Session &session = m_sessions[arrival.session];
    session.busy = true;
    session.sentAt = EventLoop::now() - m_start;
    CallerRequest request = arrival.request;
    request.token = session.token;
    m_sender.send(arrival.entry, request,
                  [this, place, running = std::weak_ptr(m_running)](const CallerResult &result) {
                      if (!running.expired())
                          ended(place, result);
                  });
}

void LoadRunner::ended(std::size_t place, const CallerResult &result)
{
    const Arrival &arrival = m_plan[place];
    Session &session = m_sessions[arrival.session];
    const LoadResult load = loadResult(arrival, result);
    for (LoadRecorder *recorder : m_recorders)
        recorder->record(arrival, load);
    check(arrival, session, result);
    if (!result.answer.token.empty())
        session.token = result.answer.token;
    session.busy = false;
    if (!session.waiting.empty()) {
        const std::size_t next = session.waiting.front();
        session.waiting.pop_front();
        send(next);
    }
    if (--m_open == 0)
        m_loop.stop();
}

// Work that is done after the caller has left serves nobody.
LoadResult LoadRunner::loadResult(const Arrival &arrival, const CallerResult &result) const
{
    LoadResult load{.outcome = result.outcome,
                    .reason = result.reason,
                    .byReplica = result.answer.byReplica,
                    .endedAt = EventLoop::now() - m_start};
    load.answeredAfter = load.endedAt - m_sessions[arrival.session].sentAt;
    const bool late = load.endedAt > arrival.at + arrival.request.deadline;
    if (load.outcome == Outcome::Done && late) {
        load.outcome = Outcome::Unknown;
        load.reason = "after-deadline";
    }
    return load;
}

void LoadRunner::check(const Arrival &arrival, Session &session, const CallerResult &result)
{
    const RequestId &answered = result.answer.requestId;
    if (!answered.isEmpty() && answered != arrival.request.id)
        ++m_faults.foreignAnswers;
    const RequestClass &requestClass = m_workload.classes[arrival.requestClass];
    const bool aged = arrival.request.maximumAge.has_value();
    if (!requestClass.ownKey || aged || result.outcome != Outcome::Done)
        return;
    if (arrival.request.access == Access::Write) {
        session.acknowledged = arrival.ownSequence;
        return;
    }
    const std::uint64_t value =
            result.answer.results.empty() ? 0 : numberOf(result.answer.results.front());
    ++m_faults.checkedReads;
    if (value < session.acknowledged)
        ++m_faults.missedWrites;
    if (value < session.seen)
        ++m_faults.wentBack;
    session.seen = std::max(session.seen, value);
}

} // namespace fescuespring
