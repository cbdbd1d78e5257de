#include "retry/retry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace fescuespring;
using namespace std::chrono_literals;

class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(deadlineShrinksAtEachHop);
    CPPUNIT_TEST(retriesAreAShareOfSuccesses);
    CPPUNIT_TEST(onlyTheFirstHopRetries);
    CPPUNIT_TEST(workThatMayHaveRunIsRetriedOnlyIfIdempotent);
    CPPUNIT_TEST(noRetryWithoutTimeBeforeTheDeadline);
    CPPUNIT_TEST(backoffIsRandomAndBounded);
    CPPUNIT_TEST_SUITE_END();

    Instant m_now{std::chrono::hours(1)};
    Counters m_counters;
    std::mt19937 m_random{3};
    Deadline m_deadline = Deadline::received(2s, m_now);

    RetryBudget budget(const RetryOptions &options = {})
    {
        return {options, [this] { return std::uniform_real_distribution<>()(m_random); },
                m_counters};
    }
    std::uint64_t counted(const char *name, const char *reason)
    {
        return m_counters.counter(name, "reason", reason).value();
    }

public:
    void deadlineShrinksAtEachHop()
    {
        const Deadline entry = Deadline::received(100ms, m_now);
        const auto sent = entry.forNextHop(m_now + 10500us, 2ms);
        CPPUNIT_ASSERT(sent == 87ms);
        CPPUNIT_ASSERT(Deadline::received(sent, m_now).at() < entry.at());
        CPPUNIT_ASSERT(entry.hasPassed(m_now + 100ms));
        CPPUNIT_ASSERT(entry.forNextHop(m_now + 1s) == 0ms);
    }

    // While every attempt fails, retries are limited to the full bucket, afterwards to the share of
    // successes.
    void retriesAreAShareOfSuccesses()
    {
        RetryBudget budget = this->budget({.tokensPerSuccess = 0.1, .maximumTokens = 10});
        const FailedAttempt failed{.reason = Reason::NoOwner};
        int retries = 0;
        for (int i = 0; i < 1000; ++i)
            retries += budget.decide(failed, m_deadline, m_now).wait.has_value();
        CPPUNIT_ASSERT_EQUAL(10, retries);
        for (int i = 0; i < 1000; ++i) {
            budget.succeeded();
            retries += budget.decide(failed, m_deadline, m_now).wait.has_value();
        }
        CPPUNIT_ASSERT(retries >= 109 && retries <= 110);
        CPPUNIT_ASSERT(budget.decide(failed, m_deadline, m_now).refusal
                       == Reason::RetryBudgetSpent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(retries),
                             counted("fescuespring_retries_total", "no-owner"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2001 - retries),
                             counted("fescuespring_retries_refused_total", "no-owner"));
    }

    // Guards against multiplied retries: two hops with three attempts each make three attempts, not
    // nine.
    void onlyTheFirstHopRetries()
    {
        RetryBudget entry = budget();
        RetryBudget owner = budget();
        int attempts = 0;
        for (std::uint32_t attempt = 1;; ++attempt) {
            ++attempts;
            const FailedAttempt atOwner{
                    .reason = Reason::UpstreamUnreachable, .hop = 1, .attempt = 1};
            const RetryDecision answer = owner.decide(atOwner, m_deadline, m_now);
            CPPUNIT_ASSERT(!answer.wait);
            const FailedAttempt atEntry{.reason = answer.refusal, .attempt = attempt};
            if (!entry.decide(atEntry, m_deadline, m_now).wait)
                break;
        }
        CPPUNIT_ASSERT_EQUAL(3, attempts);
    }

    void workThatMayHaveRunIsRetriedOnlyIfIdempotent()
    {
        RetryBudget budget = this->budget();
        FailedAttempt failed{.reason = Reason::ConnectionLost, .mayHaveRun = true};
        CPPUNIT_ASSERT(budget.decide(failed, m_deadline, m_now).refusal == Reason::ConnectionLost);
        failed.idempotent = true;
        CPPUNIT_ASSERT(budget.decide(failed, m_deadline, m_now).wait.has_value());
    }

    void noRetryWithoutTimeBeforeTheDeadline()
    {
        RetryBudget budget(
                {}, [] { return 0.9; }, m_counters);
        const FailedAttempt failed{.reason = Reason::NoOwner};
        CPPUNIT_ASSERT(budget.decide(failed, m_deadline, m_now + 2s).refusal
                       == Reason::DeadlinePassed);
        CPPUNIT_ASSERT(budget.decide(failed, m_deadline, m_now + 1990ms).refusal
                       == Reason::DeadlineTooShort);
    }

    void backoffIsRandomAndBounded()
    {
        RetryBudget budget = this->budget({.maximumTokens = 1000, .maximumAttempts = 100});
        Duration maximum{0};
        Duration minimum = 1s;
        for (std::uint32_t attempt = 1; attempt < 100; ++attempt) {
            const FailedAttempt failed{.reason = Reason::NoOwner, .attempt = attempt};
            const Duration wait = *budget.decide(failed, m_deadline, m_now).wait;
            maximum = std::max(maximum, wait);
            minimum = std::min(minimum, wait);
        }
        CPPUNIT_ASSERT(maximum <= 500ms && maximum > 400ms);
        CPPUNIT_ASSERT(minimum < 20ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);
