#include "admission/concurrencylimit.h"
#include "admission/waitqueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>
#include <vector>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const Instant start{std::chrono::hours(1)};

// Simulates, in steps of 1 ms, a database with three slots, 15 ms per statement and a FIFO queue,
// behind a concurrency limit and a wait queue.
struct Server
{
    static constexpr std::size_t slots = 3;
    static constexpr Duration work = 15ms;

    struct Job
    {
        WaitQueue::Ticket ticket = 0;
        Instant sentAt;
        Instant endsAt;
    };

    void step()
    {
        now += 1ms;
        while (!running.empty() && running.front().endsAt <= now) {
            const Job job = running.front();
            running.pop_front();
            limit.end(now - job.sentAt, now);
            served[job.ticket] = now - arrivals[job.ticket];
        }
        while (running.size() < slots && !queue.empty()) {
            Job job = queue.front();
            queue.pop_front();
            job.endsAt = now + work;
            running.push_back(job);
        }
        while (limit.hasRoom() && !waiting.isEmpty()) {
            const auto ticket = waiting.next(now);
            waiting.remove(*ticket);
            limit.begin();
            queue.push_back({*ticket, now, {}});
        }
    }

    void arrive()
    {
        const WaitQueue::Ticket ticket = arrivals.size() + 1;
        arrivals[ticket] = now;
        waiting.push(ticket, 1, now);
    }

    double fractionWithin(Duration target) const
    {
        std::size_t inTime = 0;
        for (const auto &[ticket, time] : served)
            inTime += time <= target ? 1 : 0;
        return static_cast<double>(inTime) / static_cast<double>(arrivals.size());
    }

    Instant now = start;
    ConcurrencyLimit limit{{.minimum = 4, .maximum = 24}};
    WaitQueue waiting;
    std::deque<Job> queue;
    std::deque<Job> running;
    std::map<WaitQueue::Ticket, Instant> arrivals;
    std::map<WaitQueue::Ticket, Duration> served;
};

} // namespace

class AdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(limitFallsUntilTheServerHasNoQueue);
    CPPUNIT_TEST(limitRisesAgain);
    CPPUNIT_TEST(limitStaysWithinItsBounds);
    CPPUNIT_TEST(mostAreServedInTimeUnderOverload);
    CPPUNIT_TEST(lowerPriorityValueGoesFirst);
    CPPUNIT_TEST(oldestGoesFirstWithoutOverload);
    CPPUNIT_TEST(newestGoesFirstUnderOverload);
    CPPUNIT_TEST(removedTicketIsNotReturned);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitFallsUntilTheServerHasNoQueue()
    {
        Server server;
        for (int i = 0; i < 4000; ++i) {
            server.arrive();
            server.step();
        }
        // Three slots of 15 ms with a target of 45 ms: about nine statements at the server.
        CPPUNIT_ASSERT(server.limit.limit() <= 12);
        CPPUNIT_ASSERT(server.limit.limit() >= 4);
        // No slot was idle: 4 s of three slots with 15 ms each, less the start.
        CPPUNIT_ASSERT(server.served.size() > 770);
    }

    void limitRisesAgain()
    {
        Server server;
        for (int i = 0; i < 2000; ++i) {
            server.arrive();
            server.step();
        }
        const double low = server.limit.limit();
        server.waiting.clear();
        for (int i = 0; i < 4000; ++i) {
            if (i % 6 == 0)
                server.arrive();
            server.step();
        }
        CPPUNIT_ASSERT(server.limit.limit() >= low);
        CPPUNIT_ASSERT(server.waiting.size() < 5);
    }

    void limitStaysWithinItsBounds()
    {
        ConcurrencyLimit limit({.minimum = 2, .maximum = 5});
        Instant now = start;
        for (int i = 0; i < 100; ++i) {
            limit.begin();
            now += 100ms;
            limit.end(1s, now);
        }
        CPPUNIT_ASSERT_EQUAL(2.0, limit.limit());
        for (int i = 0; i < 1000; ++i) {
            for (int j = 0; j < 6; ++j)
                limit.begin();
            now += 100ms;
            for (int j = 0; j < 6; ++j)
                limit.end(1ms, now);
        }
        CPPUNIT_ASSERT_EQUAL(5.0, limit.limit());
        limit.setBounds(1, 3);
        CPPUNIT_ASSERT_EQUAL(3.0, limit.limit());
    }

    // Replicas of a group fall behind, and for seconds the primary receives a fifth more requests
    // than it can serve. Most requests must still be served in time.
    void mostAreServedInTimeUnderOverload()
    {
        Server server;
        int due = 0;
        for (int i = 0; i < 4000; ++i) {
            // 240 requests per second, of which the server can run 200.
            due += 240;
            if (due >= 1000) {
                due -= 1000;
                server.arrive();
            }
            server.step();
        }
        CPPUNIT_ASSERT(server.fractionWithin(250ms) >= 0.7);
    }

    void lowerPriorityValueGoesFirst()
    {
        WaitQueue queue;
        queue.push(1, 2, start);
        queue.push(2, 1, start);
        CPPUNIT_ASSERT(queue.next(start) == WaitQueue::Ticket{2});
    }

    void oldestGoesFirstWithoutOverload()
    {
        WaitQueue queue;
        queue.push(1, 1, start);
        queue.push(2, 1, start + 10ms);
        CPPUNIT_ASSERT(queue.next(start + 20ms) == WaitQueue::Ticket{1});
    }

    void newestGoesFirstUnderOverload()
    {
        WaitQueue queue;
        queue.push(1, 1, start);
        queue.push(2, 1, start + 10ms);
        queue.push(3, 2, start + 20ms);
        CPPUNIT_ASSERT(queue.next(start + 200ms) == WaitQueue::Ticket{2});
    }

    void removedTicketIsNotReturned()
    {
        WaitQueue queue;
        queue.push(1, 1, start);
        CPPUNIT_ASSERT(queue.remove(1));
        CPPUNIT_ASSERT(!queue.remove(1));
        CPPUNIT_ASSERT(!queue.next(start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);
