#include "statementproxy/readerchoice.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <numeric>
#include <random>
#include <string>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

constexpr int choosers = 89;
constexpr Duration work = 20ms;

// Databases with five slots each, whose reads many VMs distribute. Every VM gets the figures every
// 200 ms, at its own phase, and uses them until it gets the next ones. Steps of 1 ms.
class Readers
{
public:
    Readers(unsigned seed, std::vector<double> speeds)
        : m_random(seed)
        , m_speeds(std::move(speeds))
        , m_queued(m_speeds.size(), 0)
        , m_figures(choosers, m_queued)
    {}

    // Returns the highest part of a database in a window of 2 s, relative to its speed.
    double run(int seconds, double load)
    {
        const double speed = std::accumulate(m_speeds.begin(), m_speeds.end(), 0.0);
        std::poisson_distribution<> arrivals(load * speed * 5 / 20);
        double highest = 0;
        for (int step = 0; step < seconds * 1000; ++step) {
            for (int vm = step % 200; vm < choosers; vm += 200)
                m_figures[static_cast<std::size_t>(vm)] = m_queued;
            const int count = arrivals(m_random);
            for (int i = 0; i < count; ++i)
                read();
            for (std::size_t i = 0; i < m_queued.size(); ++i)
                m_queued[i] = std::max(0.0, m_queued[i] - 5 * m_speeds[i]);
            if (step % 2000 == 1999)
                highest = std::max(highest, highestPart(speed));
        }
        return highest;
    }

    std::size_t late = 0;
    std::size_t total = 0;

private:
    void read()
    {
        const std::vector<double> &known =
                m_figures[std::uniform_int_distribution<std::size_t>(0, choosers - 1)(m_random)];
        std::vector<ReaderCandidate> candidates;
        for (std::size_t i = 0; i < known.size(); ++i) {
            candidates.push_back({.wait = milliseconds(known[i] / 5 / m_speeds[i]),
                                  .service = milliseconds(20 / m_speeds[i])});
        }
        const double random = std::uniform_real_distribution<>(0, 1)(m_random);
        const std::size_t chosen = *chooseReader(candidates, 500ms, random);
        ++m_chosen[chosen];
        ++total;
        late += (m_queued[chosen] / 5 + 20) / m_speeds[chosen] > 250 ? 1 : 0;
        m_queued[chosen] += std::exponential_distribution<>(1.0 / 20)(m_random);
    }

    double highestPart(double speed)
    {
        const auto all = static_cast<double>(
                std::accumulate(m_chosen.begin(), m_chosen.end(), std::size_t{0}));
        double highest = 0;
        for (std::size_t i = 0; i < m_chosen.size(); ++i) {
            const double part = static_cast<double>(m_chosen[i]) / all;
            highest = std::max(highest, part / (m_speeds[i] / speed));
        }
        m_chosen.assign(m_speeds.size(), 0);
        return highest;
    }

    static Duration milliseconds(double value)
    {
        return Duration(static_cast<std::int64_t>(value * 1000));
    }

    std::mt19937_64 m_random;
    std::vector<double> m_speeds;

    // Queued work in milliseconds of a slot, and what each VM knows of it.
    std::vector<double> m_queued;
    std::vector<std::vector<double>> m_figures;
    std::vector<std::size_t> m_chosen = std::vector<std::size_t>(m_speeds.size(), 0);
};

double shareOf(std::size_t index, const std::vector<ReaderCandidate> &candidates)
{
    int count = 0;
    for (int i = 0; i < 1000; ++i)
        count += chooseReader(candidates, 500ms, i / 1000.0) == index ? 1 : 0;
    return count / 1000.0;
}

} // namespace

class ReaderChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReaderChoiceTest);
    CPPUNIT_TEST(manyChoosersDoNotMoveTogether);
    CPPUNIT_TEST(slowDatabaseGetsItsPart);
    CPPUNIT_TEST(databaseThatCannotStartInTimeIsLeftOut);
    CPPUNIT_TEST(returnedDatabaseGetsWorkInSteps);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: 89 VMs with figures up to 200 ms old, three databases at 0.5 to 0.95 of their capacity.
    // Guards against all VMs moving to the database that was free 200 ms ago.
    void manyChoosersDoNotMoveTogether()
    {
        for (const double load : {0.5, 0.8, 0.95}) {
            for (unsigned seed = 1; seed <= 10; ++seed) {
                Readers readers(seed, {1, 1, 1});
                const double highest = readers.run(30, load);
                const std::string text = "seed " + std::to_string(seed) + ' ' + std::to_string(load)
                                         + ": " + std::to_string(highest);
                CPPUNIT_ASSERT_MESSAGE(text, highest <= 1.3);
                CPPUNIT_ASSERT_MESSAGE(text, readers.late * 20 <= readers.total);
            }
        }
    }

    // Load: one of three databases runs at a third of its speed.
    void slowDatabaseGetsItsPart()
    {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            Readers readers(seed, {1, 1, 1.0 / 3});
            const double highest = readers.run(30, 0.8);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(highest), highest <= 1.3);
            CPPUNIT_ASSERT(readers.late * 20 <= readers.total);
        }
    }

    // Failure: a database has stalled, or does not respond.
    void databaseThatCannotStartInTimeIsLeftOut()
    {
        const ReaderCandidate good{.service = work};
        CPPUNIT_ASSERT(shareOf(0, {{.wait = 600ms, .service = work}, good}) < 0.01);
        CPPUNIT_ASSERT(shareOf(0, {{.service = work, .isResponsive = false}, good}) < 0.01);
        CPPUNIT_ASSERT(shareOf(0, {{.service = work, .failuresInARow = 3}, good}) < 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             chooseReader({{.wait = 600ms, .service = work}}, 500ms, 0.5).value());
        CPPUNIT_ASSERT(!chooseReader({}, 500ms, 0.5));
    }

    // Guards against a database that is loaded fully at the moment when it responds again.
    void returnedDatabaseGetsWorkInSteps()
    {
        double before = 0;
        for (const Duration since : {0ms, 500ms, 1000ms, 1500ms, 2000ms}) {
            const double share =
                    shareOf(0, {{.service = work, .sinceReturn = since}, {.service = work}});
            CPPUNIT_ASSERT(share > before + 0.05);
            before = share;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, before, 0.01);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReaderChoiceTest);
