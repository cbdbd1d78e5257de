#include "experiment/experiment.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

class ExperimentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExperimentTest);
    CPPUNIT_TEST(crestMeetsItsTargets);
    CPPUNIT_TEST(shortWorkIsNotHeldUpByLongJobs);
    CPPUNIT_TEST(undeclaredLongJobsAreLearnt);
    CPPUNIT_TEST(plansGetTheirSharesThroughWhicheverVms);
    CPPUNIT_TEST(naiveProxyMissesWhatTheProductMeets);
    CPPUNIT_TEST(twoOwnersKeepToTheConnectionLimit);
    CPPUNIT_TEST(sameSeedGivesTheSameFigures);
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
    void crestMeetsItsTargets()
    {
        assertTargetsMet(runCrest);
    }

    void shortWorkIsNotHeldUpByLongJobs()
    {
        assertTargetsMet(runHeadOfLine);
    }

    void undeclaredLongJobsAreLearnt()
    {
        QueueExperimentOptions options{.load = herdviewDatabaseLoad()};
        options.load.longJobs.length = WorkLength::Unknown;
        assertTargetsMet(runHeadOfLine, options);
        options.load = dvorakDatabaseLoad();
        options.load.longJobs.length = WorkLength::Unknown;
        assertTargetsMet(runHeadOfLine, options);
    }

    void plansGetTheirSharesThroughWhicheverVms()
    {
        assertTargetsMet(runPlanShares);
    }

    void naiveProxyMissesWhatTheProductMeets()
    {
        for (const DatabaseLoad &load : {herdviewDatabaseLoad(), dvorakDatabaseLoad()}) {
            const QueueExperimentOptions options{.load = load, .policy = QueuePolicy::Naive};
            CPPUNIT_ASSERT(missesAny(runCrest(options)));
            CPPUNIT_ASSERT(missesAny(runHeadOfLine(options)));
            CPPUNIT_ASSERT(missesAny(runPlanShares(options)));
        }
    }

    void twoOwnersKeepToTheConnectionLimit()
    {
        QueueExperimentOptions options{.load = herdviewDatabaseLoad(),
                                       .policy = QueuePolicy::TwoOwners};
        CPPUNIT_ASSERT(runCrest(options).mostConnections <= 12);
        // A limit that is too small for two: the refused owner backs off and all work is done.
        options.load.connectionLimit = 6;
        const QueueReport tight = runCrest(options);
        CPPUNIT_ASSERT_EQUAL(6U, tight.mostConnections);
        CPPUNIT_ASSERT(tight.find("quiet")->find("gold")->servedShare() >= 0.999);
    }

    void sameSeedGivesTheSameFigures()
    {
        const QueueExperimentOptions options{.load = dvorakDatabaseLoad(), .seed = 9};
        const QueueReport first = runCrest(options);
        const QueueReport second = runCrest(options);
        for (std::size_t i = 0; i < first.targets.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(first.targets[i].value, second.targets[i].value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExperimentTest);
