#include "fescuebench/closedload.h"

#include <vector>

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds deadline{2000};

class ClosedLoad
{
public:
    ClosedLoad(EventLoop &loop, RequestSender &sender, const ClosedLoadOptions &options)
        : m_loop(loop)
        , m_sender(sender)
        , m_options(options)
        , m_tokens(options.callers)
        , m_end(EventLoop::now() + options.length)
        , m_running(options.callers)
    {}

    ClosedLoadResult run()
    {
        const Instant start = EventLoop::now();
        for (std::uint32_t caller = 0; caller < m_options.callers; ++caller)
            next(caller);
        m_loop.run();
        m_result.length = EventLoop::now() - start;
        return std::move(m_result);
    }

private:
    void next(std::uint32_t caller)
    {
        const Instant now = EventLoop::now();
        if (now >= m_end) {
            if (--m_running == 0)
                m_loop.stop();
            return;
        }
        const CallerRequest request = makeRequest(caller);
        m_sender.send(0, request,
                      [this, caller, now, access = request.access](const CallerResult &result) {
                          ended(caller, now, access, result);
                      });
    }

    CallerRequest makeRequest(std::uint32_t caller)
    {
        const std::uint64_t number = ++m_sent;
        const bool writes = number % m_options.writeEvery == 0;
        const std::string key = "closed-" + std::to_string(caller);
        CallerRequest request;
        request.customer = m_options.customer;
        request.session = SessionId(m_options.prefix + std::to_string(caller));
        request.group = m_options.group;
        request.access = writes ? Access::Write : Access::Read;
        request.statements = {writes ? "set " + key + " " + std::to_string(number) : "get " + key};
        request.id = RequestId(m_options.prefix + "c" + std::to_string(number));
        request.idempotent = true;
        request.deadline = deadline;
        request.token = m_tokens[caller];
        return request;
    }

    void ended(std::uint32_t caller, Instant sentAt, Access access, const CallerResult &result)
    {
        const bool done = result.outcome == Outcome::Done;
        m_result.done += done ? 1 : 0;
        m_result.failed += done ? 0 : 1;
        if (done)
            (access == Access::Write ? m_result.writes : m_result.reads)
                    .add(EventLoop::now() - sentAt);
        if (!result.answer.token.empty())
            m_tokens[caller] = result.answer.token;
        next(caller);
    }

    EventLoop &m_loop;
    RequestSender &m_sender;
    ClosedLoadOptions m_options;
    std::vector<std::string> m_tokens;
    Instant m_end;
    std::uint32_t m_running;
    std::uint64_t m_sent = 0;
    ClosedLoadResult m_result;
};

} // namespace

ClosedLoadResult runClosedLoad(EventLoop &loop, RequestSender &sender,
                               const ClosedLoadOptions &options)
{
    return ClosedLoad(loop, sender, options).run();
}

} // namespace fescuespring
