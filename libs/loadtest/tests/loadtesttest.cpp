#include "loadtest/report.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

class LoadTestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadTestTest);
    CPPUNIT_TEST(percentilesAreWithinOnePercent);
    CPPUNIT_TEST(latencyIsMeasuredFromThePlannedArrival);
    CPPUNIT_TEST(windowExcludesOtherArrivals);
    CPPUNIT_TEST(gapIncludesTheEndsOfTheRange);
    CPPUNIT_TEST(missedTargetsAreReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void percentilesAreWithinOnePercent()
    {
        LatencyHistogram histogram;
        CPPUNIT_ASSERT(Duration(0) == histogram.percentile(0.99));
        for (int i = 1; i <= 10000; ++i)
            histogram.add(Duration(i * 10));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50000, usOf(histogram.percentile(0.5)), 600);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(99000, usOf(histogram.percentile(0.99)), 1100);
        CPPUNIT_ASSERT(100ms == histogram.maximum());
        CPPUNIT_ASSERT(histogram.percentile(1) <= histogram.maximum());
    }

    void latencyIsMeasuredFromThePlannedArrival()
    {
        LoadRecorder recorder(m_workload, 100ms);
        recorder.record(arrivalAt(0, 50ms), {.outcome = Outcome::Done, .endedAt = 250ms});
        recorder.record(arrivalAt(0, 60ms),
                        {.outcome = Outcome::NotRun, .reason = "queue-full", .endedAt = 61ms});
        const ClassRecord &record = recorder.classes()[0];
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), record.offered);
        CPPUNIT_ASSERT(200ms == record.doneLatency.maximum());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), record.notRun.at("queue-full"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), recorder.series().size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), recorder.series()[0].offered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), recorder.series()[2].done);
        CPPUNIT_ASSERT(m_workload.classes[0].work == recorder.series()[2].workDone);
    }

    void windowExcludesOtherArrivals()
    {
        LoadRecorder recorder(m_workload, 100ms);
        recorder.setWindow(1s, 2s);
        for (const Duration at : {Duration(999ms), Duration(1s), Duration(2s)})
            recorder.record(arrivalAt(0, at), {.outcome = Outcome::Done, .endedAt = at + 1ms});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), recorder.classes()[0].offered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), recorder.series().size());
        CPPUNIT_ASSERT(2 * m_workload.classes[0].work == recorder.classes()[0].workDone);
    }

    void gapIncludesTheEndsOfTheRange()
    {
        CPPUNIT_ASSERT(Duration(5s) == longestGap({}, 0s, 5s));
        CPPUNIT_ASSERT(Duration(3s) == longestGap({1s, 4s, 5s}, 0s, 5s));
        CPPUNIT_ASSERT(Duration(2s) == longestGap({0s, 1s, 9s}, 0s, 3s));
    }

    void missedTargetsAreReported()
    {
        Report report{.experiment = "crest", .workload = "dvorak", .seed = 3};
        report.targets.push_back({.name = "served",
                                  .bound = 0.99,
                                  .value = 0.5,
                                  .unit = "share",
                                  .policy = "naive",
                                  .atMost = false});
        CPPUNIT_ASSERT(meetsProductTargets(report));
        report.targets.front().policy = "product";
        CPPUNIT_ASSERT(!meetsProductTargets(report));
        CPPUNIT_ASSERT(reportTable(report).find("MISSED  served") != std::string::npos);
        CPPUNIT_ASSERT(reportJson(report).find(R"("met":false)") != std::string::npos);
    }

private:
    static double usOf(Duration time)
    {
        return static_cast<double>(time.count());
    }

    static Arrival arrivalAt(std::size_t requestClass, Duration at)
    {
        Arrival arrival;
        arrival.at = at;
        arrival.requestClass = requestClass;
        return arrival;
    }

    const LoadWorkload m_workload = herdviewLoad();
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTestTest);
