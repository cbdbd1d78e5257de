#include "experiment/experiment.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

class ExperimentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExperimentTest);
    CPPUNIT_TEST(peakMeetsItsTargets);
    CPPUNIT_TEST(shortWorkIsNotDelayedByLongJobs);
    CPPUNIT_TEST(undeclaredLongJobsAreDetected);
    CPPUNIT_TEST(plansGetTheirSharesThroughAnyVm);
    CPPUNIT_TEST(naiveProxyMissesTargetsThatTheProductMeets);
    CPPUNIT_TEST(twoOwnersStayWithinConnectionLimit);
    CPPUNIT_TEST(sameSeedGivesSameFigures);
    CPPUNIT_TEST_SUITE_END();

    using Run = QueueReport (*)(const QueueExperimentOptions &);

    static void assertTargetsMet(Run run, const QueueExperimentOptions &options)
    {
        const QueueReport report = run(options);
        CPPUNIT_ASSERT(!report.targets.empty());
        for (const QueueTarget &target : report.targets) {
            const std::string what = report.load + ", seed " + std::to_string(report.seed) + ": "
                                     + target.name + " is " + std::to_string(target.value);
            CPPUNIT_ASSERT_MESSAGE(what, target.isMet);
        }
    }

    static void assertTargetsMet(Run run)
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            assertTargetsMet(run, {.load = herdviewDatabaseLoad(), .seed = seed});
            assertTargetsMet(run, {.load = dvorakDatabaseLoad(), .seed = seed});
        }
    }

    static bool missesAny(const QueueReport &report)
    {
        for (const QueueTarget &target : report.targets) {
            if (!target.isMet)
                return true;
        }
        return false;
    }

public:
    void peakMeetsItsTargets()
    {
        assertTargetsMet(runPeak);
    }

    void shortWorkIsNotDelayedByLongJobs()
    {
        assertTargetsMet(runHeadOfLine);
    }

    void undeclaredLongJobsAreDetected()
    {
        QueueExperimentOptions options{.load = herdviewDatabaseLoad()};
        options.load.longJobs.length = WorkLength::Unknown;
        assertTargetsMet(runHeadOfLine, options);
        options.load = dvorakDatabaseLoad();
        options.load.longJobs.length = WorkLength::Unknown;
        assertTargetsMet(runHeadOfLine, options);
    }

    void plansGetTheirSharesThroughAnyVm()
    {
        assertTargetsMet(runPlanShares);
    }

    void naiveProxyMissesTargetsThatTheProductMeets()
    {
        for (const DatabaseLoad &load : {herdviewDatabaseLoad(), dvorakDatabaseLoad()}) {
            const QueueExperimentOptions options{.load = load, .policy = QueuePolicy::Naive};
            CPPUNIT_ASSERT(missesAny(runPeak(options)));
            CPPUNIT_ASSERT(missesAny(runHeadOfLine(options)));
            CPPUNIT_ASSERT(missesAny(runPlanShares(options)));
        }
    }

    void twoOwnersStayWithinConnectionLimit()
    {
        QueueExperimentOptions options{.load = herdviewDatabaseLoad(),
                                       .policy = QueuePolicy::TwoOwners};
        CPPUNIT_ASSERT(runPeak(options).maximumConnections <= 12);
        // With a limit too small for two owners the refused owner backs off and all work is served.
        options.load.connectionLimit = 6;
        const QueueReport tight = runPeak(options);
        CPPUNIT_ASSERT_EQUAL(6U, tight.maximumConnections);
        CPPUNIT_ASSERT(tight.find("quiet")->find("gold")->servedShare() >= 0.999);
    }

    void sameSeedGivesSameFigures()
    {
        const QueueExperimentOptions options{.load = dvorakDatabaseLoad(), .seed = 9};
        const QueueReport first = runPeak(options);
        const QueueReport second = runPeak(options);
        for (std::size_t i = 0; i < first.targets.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(first.targets[i].value, second.targets[i].value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExperimentTest);
