#include "fescuebench/loadrunner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

// Answers each request after a fixed time with what answer says, and notes what it was sent.
class FakeSender : public RequestSender
{
public:
    FakeSender(EventLoop &loop, Duration delay, std::function<CallerResult(std::size_t)> answer)
        : m_loop(loop)
        , m_delay(delay)
        , m_answer(std::move(answer))
    {}

    void send(std::size_t, const CallerRequest &request, CallerCallback callback) override
    {
        overlapped = overlapped || !m_open.insert(request.session.value()).second;
        tokens.push_back(request.token);
        const CallerResult result = m_answer(tokens.size());
        m_loop.after(m_delay, [this, request, result, callback = std::move(callback)] {
            m_open.erase(request.session.value());
            callback(result);
        });
    }

    // Whether a session had two requests under way.
    bool overlapped = false;
    std::vector<std::string> tokens;

private:
    EventLoop &m_loop;
    Duration m_delay;
    std::function<CallerResult(std::size_t)> m_answer;
    std::set<std::string> m_open;
};

CallerResult done(const std::string &token, const std::string &value)
{
    CallerResult result{Outcome::Done, "none", {}};
    result.answer.token = token;
    result.answer.results = {value};
    return result;
}

} // namespace

class LoadRunnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadRunnerTest);
    CPPUNIT_TEST(sessionSendsOneAfterAnotherWithItsToken);
    CPPUNIT_TEST(doneAfterTheDeadlineServesNobody);
    CPPUNIT_TEST(staleReadsAreFound);
    CPPUNIT_TEST(whatNeverEndsIsCounted);
    CPPUNIT_TEST_SUITE_END();

public:
    void sessionSendsOneAfterAnotherWithItsToken()
    {
        FakeSender sender(m_loop, 5ms, [](std::size_t number) {
            return done("t" + std::to_string(number), "9");
        });
        run(sender, {writeAt(0ms, 1), readAt(1ms, 1), readAt(2ms, 1)});
        CPPUNIT_ASSERT(!sender.overlapped);
        CPPUNIT_ASSERT((std::vector<std::string>{"", "t1", "t2"}) == sender.tokens);
        CPPUNIT_ASSERT(m_recorder.classes()[0].doneLatency.maximum() >= 13ms);
    }

    void doneAfterTheDeadlineServesNobody()
    {
        FakeSender sender(m_loop, 20ms, [](std::size_t) { return done("", "9"); });
        Arrival late = readAt(0ms, 0);
        late.request.deadline = 10ms;
        run(sender, {late});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_recorder.classes()[0].done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             m_recorder.classes()[0].unknown.at("after-deadline"));
    }

    void staleReadsAreFound()
    {
        const std::vector<std::string> values{"ok", "2", "1", "0"};
        FakeSender sender(m_loop, 1ms,
                          [&values](std::size_t number) { return done("", values[number - 1]); });
        const LoadEnd end =
                run(sender, {writeAt(0ms, 1), readAt(0ms, 1), readAt(0ms, 1), readAt(0ms, 1)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), end.faults.checkedReads);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), end.faults.missedWrites);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), end.faults.wentBack);
    }

    void whatNeverEndsIsCounted()
    {
        FakeSender sender(m_loop, 1h, [](std::size_t) { return done("", ""); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), run(sender, {readAt(0ms, 0), readAt(0ms, 0)}).open);
    }

private:
    static LoadWorkload makeWorkload()
    {
        LoadWorkload workload = herdviewLoad();
        workload.classes.resize(1);
        workload.classes[0].ownKey = true;
        return workload;
    }

    static Arrival readAt(Duration at, std::uint64_t sequence)
    {
        Arrival arrival;
        arrival.at = at;
        arrival.ownSequence = sequence;
        arrival.request.session = SessionId("s");
        arrival.request.group = GroupId("herd-1");
        arrival.request.deadline = 2000ms;
        return arrival;
    }

    static Arrival writeAt(Duration at, std::uint64_t sequence)
    {
        Arrival arrival = readAt(at, sequence);
        arrival.request.access = Access::Write;
        return arrival;
    }

    LoadEnd run(RequestSender &sender, std::vector<Arrival> plan)
    {
        LoadRunner runner(m_loop, m_workload, std::move(plan), sender, {&m_recorder}, "x");
        return runner.run(100ms);
    }

    EventLoop m_loop;
    const LoadWorkload m_workload = makeWorkload();
    LoadRecorder m_recorder{m_workload, 100ms};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadRunnerTest);
