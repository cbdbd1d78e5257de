#include "directory/routetable.h"
#include "directory/upstreamdirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const Instant start{std::chrono::hours(1)};

// Each database has an address of its own.
UpstreamEntry entry(const std::string &database, std::int64_t startedAt = 1)
{
    const auto port = static_cast<std::uint16_t>(8000 + database.front());
    return {.target = {GroupId("herd"), DatabaseId(database), {"10.0.0.1", port}},
            .startedAt = startedAt};
}

struct Seen
{
    std::vector<std::string> lives;
    std::vector<std::string> gone;
    UpstreamDirectory directory{{.onEntry =
                                         [this](const UpstreamEntry &entry, bool isNewLife) {
                                             if (isNewLife)
                                                 lives.push_back(entry.target.database.value());
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
    CPPUNIT_TEST(vanishedEntryIsKeptForAWhile);
    CPPUNIT_TEST(entryThatComesBackStays);
    CPPUNIT_TEST(otherLifeAndOtherAddressAreNew);
    CPPUNIT_TEST(fullListDropsTheOthers);
    CPPUNIT_TEST(groupsComeInTurn);
    CPPUNIT_TEST(lostDatabaseCountsForAWhile);
    CPPUNIT_TEST(successorAtTheSameAddressEndsALostDatabase);
    CPPUNIT_TEST(configurationsOnlyRise);
    CPPUNIT_TEST_SUITE_END();

public:
    void vanishedEntryIsKeptForAWhile()
    {
        Seen seen;
        seen.directory.update(entry("a"));
        seen.directory.vanished(DatabaseId("a"), start);
        seen.directory.expire(start + missingEntryGrace - 1ms);
        CPPUNIT_ASSERT(seen.directory.find(DatabaseId("a")));
        seen.directory.expire(start + missingEntryGrace);
        CPPUNIT_ASSERT(!seen.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT(seen.gone == std::vector<std::string>{"a"});
    }

    void entryThatComesBackStays()
    {
        Seen seen;
        seen.directory.update(entry("a"));
        seen.directory.vanished(DatabaseId("a"), start);
        seen.directory.update(entry("a"));
        seen.directory.expire(start + 1h);
        CPPUNIT_ASSERT(seen.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen.lives.size());
    }

    void otherLifeAndOtherAddressAreNew()
    {
        Seen seen;
        seen.directory.update(entry("a"));
        seen.directory.update(entry("a"));
        seen.directory.update(entry("a", 2));
        UpstreamEntry moved = entry("a", 2);
        moved.target.endpoint.port = 81;
        seen.directory.update(moved);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.lives.size());
    }

    void fullListDropsTheOthers()
    {
        Seen seen;
        seen.directory.replaceAll({entry("a"), entry("b")}, start);
        seen.directory.replaceAll({entry("b")}, start + 1s);
        seen.directory.expire(start + 1s + missingEntryGrace);
        CPPUNIT_ASSERT(seen.gone == std::vector<std::string>{"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen.directory.group(GroupId("herd")).size());
    }

    void groupsComeInTurn()
    {
        Seen seen;
        for (const char *group : {"a", "b", "c"}) {
            UpstreamEntry one = entry(group);
            one.target.group = GroupId(group);
            seen.directory.update(one);
        }
        const auto after = [&seen](const char *group, std::size_t count) {
            std::string names;
            for (const GroupId &next : seen.directory.groupsAfter(GroupId(group), count))
                names += next.value();
            return names;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), after("", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("ca"), after("b", 2));
        CPPUNIT_ASSERT_EQUAL(std::string("bca"), after("a", 9));
        CPPUNIT_ASSERT(Seen().directory.groupsAfter(GroupId("a"), 1).empty());
    }

    void lostDatabaseCountsForAWhile()
    {
        Seen seen;
        UpstreamEntry leaving = entry("b");
        leaving.isDraining = true;
        seen.directory.replaceAll({entry("a"), leaving, entry("c")}, start);
        seen.directory.vanished(DatabaseId("a"), start);
        seen.directory.vanished(DatabaseId("b"), start);
        const Instant gone = start + missingEntryGrace;
        seen.directory.expire(gone);
        const GroupId group("herd");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.directory.groupSize(group, gone));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             seen.directory.groupSize(group, gone + goneDatabaseCounts));
    }

    // Two processes cannot listen at one address, so whoever is lost is gone and not cut off.
    void successorAtTheSameAddressEndsALostDatabase()
    {
        Seen seen;
        for (const char *name : {"a", "b", "c"})
            seen.directory.update(entry(name));
        seen.directory.vanished(DatabaseId("a"), start);
        UpstreamEntry successor = entry("d");
        successor.target.endpoint = entry("a").target.endpoint;
        seen.directory.update(successor);
        CPPUNIT_ASSERT(!seen.directory.find(DatabaseId("a")));
        CPPUNIT_ASSERT(seen.gone == std::vector<std::string>{"a"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.directory.groupSize(GroupId("herd"), start));
        // The same after its grace was over.
        seen.directory.vanished(DatabaseId("b"), start);
        seen.directory.expire(start + missingEntryGrace);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.directory.groupSize(GroupId("herd"), start));
        successor = entry("e");
        successor.target.endpoint = entry("b").target.endpoint;
        seen.directory.update(successor);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, seen.directory.groupSize(GroupId("herd"), start));
    }

    void configurationsOnlyRise()
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
