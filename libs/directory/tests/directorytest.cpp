#include "directory/routetable.h"
#include "directory/upstreamdirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const Instant start{std::chrono::hours(1)};

// Each database has its own address.
UpstreamEntry entry(const std::string &database, std::int64_t startedAt = 1)
{
    const auto port = static_cast<std::uint16_t>(8000 + database.front());
    return {.target = {GroupId("herd"), DatabaseId(database), {"10.0.0.1", port}},
            .startedAt = startedAt};
}

struct RecordingDirectory
{
    std::vector<std::string> incarnations;
    std::vector<std::string> gone;
    UpstreamDirectory directory{{.onEntry =
                                         [this](const UpstreamEntry &entry, bool isNewIncarnation) {
                                             if (isNewIncarnation)
                                                 incarnations.push_back(
                                                         entry.target.database.value());
                                         },
                                 .onGone =
                                         [this](const UpstreamEntry &entry) {
                                             gone.push_back(entry.target.database.value());
                                         }}};
};

} // namespace

class DirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DirectoryTest);
    CPPUNIT_TEST(vanishedEntryIsKeptForGracePeriod);
    CPPUNIT_TEST(returningEntryIsKept);
    CPPUNIT_TEST(restartAndNewAddressAreNewIncarnations);
    CPPUNIT_TEST(fullListRemovesUnlistedEntries);
    CPPUNIT_TEST(groupsAfterWrapsAround);
    CPPUNIT_TEST(lostDatabaseCountsDuringRetention);
    CPPUNIT_TEST(databaseThatLeftMayHoldCommitsUntilItsLogIsTakenOver);
    CPPUNIT_TEST(databaseAtSameAddressReplacesLostDatabase);
    CPPUNIT_TEST(directoryIsCompleteOnceMissingEntriesWouldBeBack);
    CPPUNIT_TEST(gapOfTheStoreDelaysACompleteDirectory);
    CPPUNIT_TEST(completeDirectoryRemainsSoWhileLostDatabasesCount);
    CPPUNIT_TEST(olderConfigurationIsRejected);
    CPPUNIT_TEST(leavingDatabaseStaysSoDespiteAnOlderEntry);
    CPPUNIT_TEST(departedDatabaseDoesNotReturnWithAnOlderEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    void vanishedEntryIsKeptForGracePeriod()
    {
        RecordingDirectory recording;
        recording.directory.update(entry("a"));
        recording.directory.vanished(DatabaseId("a"), start);
        recording.directory.expire(start + missingEntryGrace - 1ms);
        CPPUNIT_ASSERT(recording.directory.find(DatabaseId("a")));
        recording.directory.expire(start + missingEntryGrace);
        CPPUNIT_ASSERT(!recording.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT(recording.gone == std::vector<std::string>{"a"});
    }

    // Guards against requests to a database that is about to stop, as the restored store holds its
    // entry from before it announced that.
    void leavingDatabaseStaysSoDespiteAnOlderEntry()
    {
        RecordingDirectory recording;
        UpstreamEntry leaving = entry("a");
        leaving.isDraining = true;
        recording.directory.update(entry("a"));
        recording.directory.update(leaving);
        recording.directory.update(entry("a"));
        CPPUNIT_ASSERT(recording.directory.find(DatabaseId("a"))->isDraining);
        // A later incarnation is not leaving.
        recording.directory.update(entry("a", 2));
        CPPUNIT_ASSERT(!recording.directory.find(DatabaseId("a"))->isDraining);
    }

    // Guards against a group that counts databases of the past, so that no majority is left.
    void departedDatabaseDoesNotReturnWithAnOlderEntry()
    {
        RecordingDirectory recording;
        UpstreamEntry leaving = entry("a");
        leaving.isDraining = true;
        recording.directory.update(leaving);
        recording.directory.update(entry("b"));
        recording.directory.vanished(DatabaseId("a"), start);
        recording.directory.expire(start + missingEntryGrace);
        recording.directory.update(entry("a"));
        CPPUNIT_ASSERT(!recording.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             recording.directory.groupSize(GroupId("herd"), start + 3s));
        recording.directory.update(entry("a", 2));
        CPPUNIT_ASSERT(recording.directory.find(DatabaseId("a")));
        // Memory of departed databases is bounded.
        recording.directory.expire(start + 1h);
        recording.directory.update(entry("a"));
        CPPUNIT_ASSERT(recording.directory.find(DatabaseId("a")));
    }

    // Guards against a promotion by what a VM that starts as the store returns has seen.
    void directoryIsCompleteOnceMissingEntriesWouldBeBack()
    {
        RecordingDirectory recording;
        UpstreamDirectory &directory = recording.directory;
        directory.update(entry("a"));
        CPPUNIT_ASSERT(!directory.isComplete());
        // The first answer took 300 ms: the store may have returned right before it.
        directory.storeAnswered(start, start + 300ms);
        for (Duration age = 400ms; age < missingEntryGrace + 300ms; age += 400ms)
            directory.storeAnswered(start + age, start + age + 5ms);
        CPPUNIT_ASSERT(!directory.isComplete());
        directory.storeAnswered(start + missingEntryGrace + 300ms,
                                start + missingEntryGrace + 310ms);
        CPPUNIT_ASSERT(directory.isComplete());
    }

    // Guards against a promotion by what was listed before an outage of the store that followed
    // soon after the start.
    void gapOfTheStoreDelaysACompleteDirectory()
    {
        RecordingDirectory recording;
        UpstreamDirectory &directory = recording.directory;
        directory.storeAnswered(start, start);
        directory.storeAnswered(start + 400ms, start + 400ms);
        const Instant returned = start + 6s;
        for (Duration age{0}; age < missingEntryGrace; age += 400ms) {
            directory.storeAnswered(returned + age, returned + age);
            CPPUNIT_ASSERT(!directory.isComplete());
        }
        // An answer that another VM gave earlier shows nothing about the present.
        directory.storeAnswered(returned, returned + 4s);
        CPPUNIT_ASSERT(!directory.isComplete());
        directory.storeAnswered(returned + missingEntryGrace, returned + 4s);
        CPPUNIT_ASSERT(directory.isComplete());
    }

    // Guards against an outage that stops what a VM could do without the store, and against a VM
    // that returns after so long that it no longer counts what it had lost.
    void completeDirectoryRemainsSoWhileLostDatabasesCount()
    {
        RecordingDirectory recording;
        UpstreamDirectory &directory = recording.directory;
        for (Duration age{0}; age <= missingEntryGrace + 400ms; age += 400ms)
            directory.storeAnswered(start + age, start + age);
        CPPUNIT_ASSERT(directory.isComplete());
        directory.expire(start + 1h);
        CPPUNIT_ASSERT(directory.isComplete());
        directory.storeAnswered(start + lostDatabaseRetention, start + lostDatabaseRetention);
        CPPUNIT_ASSERT(directory.isComplete());
        directory.storeAnswered(start + 1h, start + 1h);
        CPPUNIT_ASSERT(!directory.isComplete());
    }

    void returningEntryIsKept()
    {
        RecordingDirectory recording;
        recording.directory.update(entry("a"));
        recording.directory.vanished(DatabaseId("a"), start);
        recording.directory.update(entry("a"));
        recording.directory.expire(start + 1h);
        CPPUNIT_ASSERT(recording.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recording.incarnations.size());
    }

    void restartAndNewAddressAreNewIncarnations()
    {
        RecordingDirectory recording;
        recording.directory.update(entry("a"));
        recording.directory.update(entry("a"));
        recording.directory.update(entry("a", 2));
        UpstreamEntry moved = entry("a", 2);
        moved.target.endpoint.port = 81;
        recording.directory.update(moved);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, recording.incarnations.size());
    }

    void fullListRemovesUnlistedEntries()
    {
        RecordingDirectory recording;
        recording.directory.replaceAll({entry("a"), entry("b")}, start);
        recording.directory.replaceAll({entry("b")}, start + 1s);
        recording.directory.expire(start + 1s + missingEntryGrace);
        CPPUNIT_ASSERT(recording.gone == std::vector<std::string>{"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recording.directory.group(GroupId("herd")).size());
    }

    void groupsAfterWrapsAround()
    {
        RecordingDirectory recording;
        for (const char *group : {"a", "b", "c"}) {
            UpstreamEntry one = entry(group);
            one.target.group = GroupId(group);
            recording.directory.update(one);
        }
        const auto after = [&recording](const char *group, std::size_t count) {
            std::string names;
            for (const GroupId &next : recording.directory.groupsAfter(GroupId(group), count))
                names += next.value();
            return names;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), after("", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("ca"), after("b", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("bca"), after("a", 9));
        CPPUNIT_ASSERT(RecordingDirectory().directory.groupsAfter(GroupId("a"), 1).empty());
    }

    void lostDatabaseCountsDuringRetention()
    {
        RecordingDirectory recording;
        UpstreamEntry leaving = entry("b");
        leaving.isDraining = true;
        recording.directory.replaceAll({entry("a"), leaving, entry("c")}, start);
        recording.directory.vanished(DatabaseId("a"), start);
        recording.directory.vanished(DatabaseId("b"), start);
        const Instant gone = start + missingEntryGrace;
        recording.directory.expire(gone);
        const GroupId group("herd");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, recording.directory.groupSize(group, gone));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             recording.directory.groupSize(group, gone + lostDatabaseRetention));
    }

    // Guards against a promotion that drops commits which only a replica that has just left
    // received.
    void databaseThatLeftMayHoldCommitsUntilItsLogIsTakenOver()
    {
        for (const bool isReplaced : {false, true}) {
            RecordingDirectory recording;
            UpstreamDirectory &directory = recording.directory;
            const GroupId group("herd");
            const DatabaseId primary("a");
            UpstreamEntry leaving = entry("b");
            leaving.isDraining = true;
            directory.replaceAll({entry("a"), leaving, entry("c")}, start);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.otherMembers(group, primary, start));
            directory.vanished(DatabaseId("b"), start);
            const Instant gone = start + missingEntryGrace;
            directory.expire(gone);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.otherMembers(group, primary, gone));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                                 directory.otherMembers(group, DatabaseId("c"), gone));
            if (isReplaced) {
                UpstreamEntry successor = entry("d");
                successor.target.endpoint = leaving.target.endpoint;
                directory.update(successor);
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.otherMembers(group, primary, gone));
            }
            const Instant later = gone + lostDatabaseRetention;
            CPPUNIT_ASSERT_EQUAL(std::size_t{isReplaced ? 2U : 1U},
                                 directory.otherMembers(group, primary, later));
            // The database that is left out need not be in the group any more.
            directory.vanished(primary, later);
            directory.expire(later + missingEntryGrace);
            const Instant end = later + missingEntryGrace + lostDatabaseRetention;
            CPPUNIT_ASSERT_EQUAL(std::size_t{isReplaced ? 2U : 1U},
                                 directory.otherMembers(group, primary, end));
        }
    }

    // Two processes cannot listen on one address, so the lost database has ended and is not merely
    // isolated.
    void databaseAtSameAddressReplacesLostDatabase()
    {
        RecordingDirectory recording;
        for (const char *name : {"a", "b", "c"})
            recording.directory.update(entry(name));
        recording.directory.vanished(DatabaseId("a"), start);
        UpstreamEntry successor = entry("d");
        successor.target.endpoint = entry("a").target.endpoint;
        recording.directory.update(successor);
        CPPUNIT_ASSERT(!recording.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT(recording.gone == std::vector<std::string>{"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, recording.directory.groupSize(GroupId("herd"), start));
        // The same after the end of the grace period.
        recording.directory.vanished(DatabaseId("b"), start);
        recording.directory.expire(start + missingEntryGrace);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, recording.directory.groupSize(GroupId("herd"), start));
        successor = entry("e");
        successor.target.endpoint = entry("b").target.endpoint;
        recording.directory.update(successor);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, recording.directory.groupSize(GroupId("herd"), start));
    }

    void olderConfigurationIsRejected()
    {
        RouteTable table;
        CPPUNIT_ASSERT(!table.isLoaded());
        const Route route{.name = RouteName("r"), .group = GroupId("herd")};
        CPPUNIT_ASSERT(table.apply({.version = 7, .routes = {route}}));
        CPPUNIT_ASSERT(table.find(RouteName("r")));
        CPPUNIT_ASSERT(!table.apply({.version = 6}));
        CPPUNIT_ASSERT(!table.apply({.version = 7}));
        CPPUNIT_ASSERT(table.find(RouteName("r")));
        CPPUNIT_ASSERT(table.apply({.version = 9}));
        CPPUNIT_ASSERT(!table.find(RouteName("r")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
