#include "settings/statementsettings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const std::string validSettings = "vm: front-1\n"
                                  "dataCentre: north\n"
                                  "callers: 10.1.0.8:8784\n"
                                  "readiness: 10.1.0.8:8785\n"
                                  "metrics: 10.1.0.8:9464\n"
                                  "peers: 10.1.0.8:7440\n"
                                  "relay: 10.1.0.8:7441\n"
                                  "store: 10.200.1.7:8783\n"
                                  "promotions: 10.200.0.160:8783\n";

} // namespace

class StatementSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatementSettingsTest);
    CPPUNIT_TEST(validSettingsAreRead);
    CPPUNIT_TEST(stopDeadlineFollowsFromTheGracePeriod);
    CPPUNIT_TEST(allErrorsAreReportedWithTheirLines);
    CPPUNIT_TEST(boundsOfCustomersAreOffUnlessGiven);
    CPPUNIT_TEST(capacityIsLearnedOnlyOnRequest);
    CPPUNIT_TEST(unknownFieldIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void validSettingsAreRead()
    {
        const auto settings =
                parseStatementSettings(validSettings
                                       + "stopDeadlineMs: 4000\ndepartureNoticeMs: "
                                         "10000\nfirstStart: true\nlogging:\n  level: warning\n  "
                                         "linesPerSecond: 5\n");
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT(settings.value().vm == VmId("front-1"));
        CPPUNIT_ASSERT(settings.value().store == (Endpoint{"10.200.1.7", 8783}));
        CPPUNIT_ASSERT(settings.value().stopDeadline() == 4s);
        CPPUNIT_ASSERT(settings.value().departureNotice == 10s);
        CPPUNIT_ASSERT(settings.value().isFirstStart);
        CPPUNIT_ASSERT(settings.value().logging.level == LogLevel::Warning);
        CPPUNIT_ASSERT(settings.value().logging.standardOutput);
        CPPUNIT_ASSERT_EQUAL(5U, settings.value().logging.linesPerSecond);
    }

    // Guards against a process that ends long before the platform would kill it, while databases
    // still work on its callers' statements.
    void stopDeadlineFollowsFromTheGracePeriod()
    {
        const auto byDefault = parseStatementSettings(validSettings);
        CPPUNIT_ASSERT(byDefault && byDefault.value().stopGrace == 6s);
        CPPUNIT_ASSERT(byDefault.value().stopDeadline() == 5750ms);
        const auto longer = parseStatementSettings(validSettings + "stopGraceSeconds: 12.5\n");
        CPPUNIT_ASSERT(longer && longer.value().stopGrace == 12500ms);
        CPPUNIT_ASSERT(longer.value().stopDeadline() == 12250ms);
        for (const char *invalid : {"soon", "0", "601", "6s", "nan", "-6", "6 7"}) {
            const auto read =
                    parseStatementSettings(validSettings + "stopGraceSeconds: " + invalid + '\n');
            CPPUNIT_ASSERT_MESSAGE(invalid, !read);
            CPPUNIT_ASSERT_EQUAL(std::string("stopGraceSeconds"), read.error().at(0).field);
            CPPUNIT_ASSERT_EQUAL(10, read.error().at(0).line);
        }
    }

    // Guards against a VM that learns capacity without being asked to.
    void capacityIsLearnedOnlyOnRequest()
    {
        const auto byDefault = parseStatementSettings(validSettings);
        CPPUNIT_ASSERT(byDefault.value().databaseCapacity == DatabaseCapacity::Fixed);
        const auto learned = parseStatementSettings(validSettings + "databaseCapacity: learned\n");
        CPPUNIT_ASSERT(learned.value().databaseCapacity == DatabaseCapacity::Learned);
        const auto fixed = parseStatementSettings(validSettings + "databaseCapacity: fixed\n");
        CPPUNIT_ASSERT(fixed.value().databaseCapacity == DatabaseCapacity::Fixed);
        const auto invalid = parseStatementSettings(validSettings + "databaseCapacity: guessed\n");
        CPPUNIT_ASSERT(!invalid);
        CPPUNIT_ASSERT_EQUAL(std::string("databaseCapacity"), invalid.error().at(0).field);
    }

    void allErrorsAreReportedWithTheirLines()
    {
        std::string text = validSettings;
        text.replace(text.find("10.1.0.8:8785"), 13, "10.1.0.8:0");
        text.replace(text.find("10.200.1.7:8783"), 15, "store:8783");
        const auto settings =
                parseStatementSettings(text + "maxCallerConnections: 0\nfirstStart: 1\n");
        CPPUNIT_ASSERT(!settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, settings.error().size());
        CPPUNIT_ASSERT_EQUAL(std::string("firstStart"), settings.error()[3].field);
        CPPUNIT_ASSERT_EQUAL(std::string("readiness"), settings.error()[0].field);
        CPPUNIT_ASSERT_EQUAL(4, settings.error()[0].line);
        CPPUNIT_ASSERT_EQUAL(std::string("store"), settings.error()[1].field);
        CPPUNIT_ASSERT_EQUAL(8, settings.error()[1].line);
        CPPUNIT_ASSERT_EQUAL(std::string("maxCallerConnections"), settings.error()[2].field);
    }

    // Guards against bounds that an installation without customers did not ask for.
    void boundsOfCustomersAreOffUnlessGiven()
    {
        const auto none = parseStatementSettings(validSettings);
        CPPUNIT_ASSERT(none && !none.value().revocationBound && !none.value().allowanceBound);
        const auto given = parseStatementSettings(
                validSettings
                + "revokeMs: 5000\nallowanceWindowSeconds: 5\nallowanceExcess: 0.25\n"
                  "allowanceTolerance: 20\n");
        CPPUNIT_ASSERT(given && given.value().revocationBound == 5s);
        CPPUNIT_ASSERT(given.value().allowanceBound->window == 5s);
        CPPUNIT_ASSERT_EQUAL(0.25, given.value().allowanceBound->excess);
        CPPUNIT_ASSERT_EQUAL(20.0, given.value().allowanceBound->tolerance);
        for (const char *invalid : {"revokeMs: 999", "allowanceExcess: -0.1",
                                    "allowanceTolerance: nan", "allowanceWindowSeconds: x"})
            CPPUNIT_ASSERT_MESSAGE(invalid, !parseStatementSettings(validSettings + invalid));
    }

    void unknownFieldIsRejected()
    {
        const auto settings = parseStatementSettings(validSettings + "relays: 10.1.0.8:1\n");
        CPPUNIT_ASSERT(!settings);
        CPPUNIT_ASSERT_EQUAL(10, settings.error().at(0).line);
        CPPUNIT_ASSERT(settings.error().at(0).message.find("relay") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementSettingsTest);
