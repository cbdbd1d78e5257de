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

    using Run = ExperimentReport (*)(const ExperimentOptions &);

    static void assertTargetsMet(Run run, const ExperimentOptions &options)
    {
        const ExperimentReport report = run(options);
        CPPUNIT_ASSERT(!report.targets.empty());
        for (const Target &target : report.targets) {
            const std::string what = report.workload + ", seed " + std::to_string(report.seed)
                                     + ": " + target.name + " is " + std::to_string(target.value);
            CPPUNIT_ASSERT_MESSAGE(what, target.isMet);
        }
    }

    static void assertTargetsMet(Run run)
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            assertTargetsMet(run, {.workload = herdViewWorkload(), .seed = seed});
            assertTargetsMet(run, {.workload = dvorakWorkload(), .seed = seed});
        }
    }

    static bool missesAny(const ExperimentReport &report)
    {
        for (const Target &target : report.targets) {
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
        ExperimentOptions options{.workload = herdViewWorkload()};
        options.workload.longJobs.length = WorkLength::Unknown;
        assertTargetsMet(runHeadOfLine, options);
        options.workload = dvorakWorkload();
        options.workload.longJobs.length = WorkLength::Unknown;
        assertTargetsMet(runHeadOfLine, options);
    }

    void plansGetTheirSharesThroughWhicheverVms()
    {
        assertTargetsMet(runPlanShares);
    }

    void naiveProxyMissesWhatTheProductMeets()
    {
        for (const Workload &workload : {herdViewWorkload(), dvorakWorkload()}) {
            const ExperimentOptions options{.workload = workload, .policy = Policy::Naive};
            CPPUNIT_ASSERT(missesAny(runCrest(options)));
            CPPUNIT_ASSERT(missesAny(runHeadOfLine(options)));
            CPPUNIT_ASSERT(missesAny(runPlanShares(options)));
        }
    }

    void twoOwnersKeepToTheConnectionLimit()
    {
        ExperimentOptions options{.workload = herdViewWorkload(), .policy = Policy::TwoOwners};
        CPPUNIT_ASSERT(runCrest(options).mostConnections <= 10);
        // A limit that is too small for two: the refused owner backs off and all work is done.
        options.workload.connectionLimit = 6;
        const ExperimentReport tight = runCrest(options);
        CPPUNIT_ASSERT_EQUAL(6U, tight.mostConnections);
        CPPUNIT_ASSERT(tight.find("quiet")->find("gold")->servedShare() >= 0.999);
    }

    void sameSeedGivesTheSameFigures()
    {
        const ExperimentOptions options{.workload = dvorakWorkload(), .seed = 9};
        const ExperimentReport first = runCrest(options);
        const ExperimentReport second = runCrest(options);
        for (std::size_t i = 0; i < first.targets.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(first.targets[i].value, second.targets[i].value);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExperimentTest);
