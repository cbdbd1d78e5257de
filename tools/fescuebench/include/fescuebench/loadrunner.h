#pragma once

#include "fescuebench/requestsender.h"
#include "loadtest/loadrecorder.h"
#include "net/eventloop.h"
#include "workload/arrivals.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuespring {

// What the sessions saw that no consistent session may see.
struct SessionFaults
{
    // Reads of an own key that lacked an acknowledged write of the session.
    std::uint64_t missedWrites = 0;

    // Reads that went behind an earlier read of the session.
    std::uint64_t wentBack = 0;

    // Answers to another request than the one asked.
    std::uint64_t foreignAnswers = 0;

    std::uint64_t checkedReads = 0;
};

struct LoadEnd
{
    SessionFaults faults;

    // Requests that had not ended at the limit.
    std::size_t open = 0;
};

// Sends the arrivals of a plan at their times, whatever became of earlier ones; only a session's
// own requests go one after another, as each needs the token of the one before. Latency counts from
// the planned arrival in any case, and what is done after the request's deadline does not count as
// done.
class LoadRunner
{
public:
    // Loop, workload, sender and recorders must outlive the run. Prefix makes request ids new in
    // each run.
    LoadRunner(EventLoop &loop, const LoadWorkload &workload, std::vector<Arrival> plan,
               RequestSender &sender, std::vector<LoadRecorder *> recorders, std::string prefix);

    LoadRunner(const LoadRunner &) = delete;
    LoadRunner &operator=(const LoadRunner &) = delete;

    // Runs the loop until every request has ended, or limit after the last arrival. Answers that
    // come later are not heard.
    LoadEnd run(Duration limit);

private:
    struct Session
    {
        std::string token;
        bool busy = false;
        Duration sentAt{0};
        std::deque<std::size_t> waiting;
        std::uint64_t acknowledged = 0;
        std::uint64_t seen = 0;
    };

    void sendDue();
    void arrive(std::size_t place);
    void send(std::size_t place);
    void ended(std::size_t place, const CallerResult &result);
    LoadResult loadResult(const Arrival &arrival, const CallerResult &result) const;
    void check(const Arrival &arrival, Session &session, const CallerResult &result);

    EventLoop &m_loop;
    const LoadWorkload &m_workload;
    std::vector<Arrival> m_plan;
    RequestSender &m_sender;
    std::vector<LoadRecorder *> m_recorders;
    std::string m_prefix;
    Instant m_start;
    std::size_t m_next = 0;
    std::size_t m_open = 0;

    // Expires with the runner, so that late answers find out.
    std::shared_ptr<bool> m_running;
    std::vector<Session> m_sessions;
    SessionFaults m_faults;
};

} // namespace fescuespring
