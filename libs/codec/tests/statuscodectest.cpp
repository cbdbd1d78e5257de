#include "codec/statuscodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

class StatusCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StatusCodecTest);
    CPPUNIT_TEST(statusRoundTrips);
    CPPUNIT_TEST(statusOfOlderVmHasDefaults);
    CPPUNIT_TEST(errorsContainThePathOfTheField);
    CPPUNIT_TEST(routeRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    void statusRoundTrips()
    {
        VmStatus status{.vm = VmId("vm-1"), .serving = true, .lists = ObjectVersion(9)};
        status.refusedLists = {"plans:3: gold.weight: must be 1 to 1000"};
        status.members = {{.vm = VmId("vm-2"),
                           .state = "leaving",
                           .suspected = true,
                           .peers = {.ip = "10.0.0.2", .port = 8401}},
                          {.vm = VmId("vm-3")}};
        status.groups = {{.group = GroupId("herd"),
                          .owner = VmId("vm-2"),
                          .term = Term(3),
                          .primary = DatabaseId("herd-1"),
                          .databases = {{.database = DatabaseId("herd-1"),
                                         .role = Role::Primary,
                                         .reachable = true,
                                         .applied = LogPosition(40),
                                         .age = std::chrono::milliseconds(12)}}}};
        const std::string encoded = encodeVmStatus(status);
        const Result<VmStatus> decoded = decodeVmStatus(encoded);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(encoded, encodeVmStatus(decoded.value()));
        const DatabaseLine &line = decoded.value().groups.at(0).databases.at(0);
        CPPUNIT_ASSERT(line.role == Role::Primary);
        CPPUNIT_ASSERT(line.age == std::chrono::milliseconds(12));
        CPPUNIT_ASSERT(decoded.value().members.at(0).peers == status.members[0].peers);
    }

    void statusOfOlderVmHasDefaults()
    {
        const Result<VmStatus> decoded = decodeVmStatus(R"({"vm":"vm-1","later":[]})");
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(!decoded.value().serving);
    }

    void errorsContainThePathOfTheField()
    {
        const Result<VmStatus> decoded =
                decodeVmStatus(R"({"vm":"vm-1","groups":[{"group":"g","databases":[{}]}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("groups[0].databases[0].database"), decoded.error().field);
    }

    void routeRoundTrips()
    {
        const RouteAnswer answer{.group = GroupId("herd"),
                                 .owner = VmId("vm-2"),
                                 .action = "serve",
                                 .database = DatabaseId("herd-2"),
                                 .byReplica = true,
                                 .explanation = {"herd-2: holds 3/40"}};
        const std::string encoded = encodeRouteAnswer(answer);
        const Result<RouteAnswer> decoded = decodeRouteAnswer(encoded);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(encoded, encodeRouteAnswer(decoded.value()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusCodecTest);
