#include "leadership/leadershipview.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const GroupId group("herd");
const DatabaseId a("a");
const DatabaseId b("b");
const Instant start{std::chrono::hours(1)};

LogPoint point(std::uint64_t position)
{
    return {Term(1), LogPosition(position)};
}

LeadershipRecord record(const DatabaseId &primary, bool isChanging, std::uint64_t version)
{
    return {.group = group,
            .isChanging = isChanging,
            .primary = primary,
            .term = Term(version),
            .version = ObjectVersion(version)};
}

} // namespace

class LeadershipViewTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeadershipViewTest);
    CPPUNIT_TEST(leaseStartsAtTheRequest);
    CPPUNIT_TEST(announcementEndsLeadership);
    CPPUNIT_TEST(olderSnapshotIsIgnored);
    CPPUNIT_TEST(floorIsTheOldestWithinTheBound);
    CPPUNIT_TEST(floorsOfAReplacedPrimaryAreDropped);
    CPPUNIT_TEST(encodedRecordsAreDecoded);
    CPPUNIT_TEST(unreadableRecordFailsTheSnapshot);
    CPPUNIT_TEST_SUITE_END();

public:
    void leaseStartsAtTheRequest()
    {
        LeadershipView view;
        view.setReportedPrimary(group, a);
        CPPUNIT_ASSERT(!view.isLeading(group, a, start));
        view.snapshot({}, start);
        CPPUNIT_ASSERT(view.isLeading(group, a, start + leadershipLease - 1ms));
        CPPUNIT_ASSERT(!view.isLeading(group, a, start + leadershipLease));
        CPPUNIT_ASSERT(!view.isLeading(group, b, start));
    }

    void announcementEndsLeadership()
    {
        LeadershipView view;
        view.snapshot({.records = {record(a, false, 2)}}, start);
        CPPUNIT_ASSERT(view.isLeading(group, a, start));
        view.snapshot({.records = {record(a, true, 3)}}, start + 1ms);
        CPPUNIT_ASSERT(!view.isLeading(group, a, start + 1ms));
        view.snapshot({.records = {record(b, false, 4)}}, start + 2ms);
        CPPUNIT_ASSERT(view.isLeading(group, b, start + 2ms));
    }

    void olderSnapshotIsIgnored()
    {
        LeadershipView view;
        view.snapshot({.records = {record(b, false, 4)}}, start + 10ms);
        view.snapshot({.records = {record(a, false, 2)}}, start);
        CPPUNIT_ASSERT(view.isLeading(group, b, start + 10ms));
        view.applyRecord(record(a, false, 3));
        CPPUNIT_ASSERT(view.isLeading(group, b, start + 10ms));
    }

    void floorIsTheOldestWithinTheBound()
    {
        LeadershipView view;
        view.addPrimaryPosition(group, point(5), start);
        view.addPrimaryPosition(group, point(8), start + 500ms);
        view.addPrimaryPosition(group, point(9), start + 1000ms);
        CPPUNIT_ASSERT(view.floor(group, 1500ms, start + 1400ms) == point(5));
        CPPUNIT_ASSERT(view.floor(group, 1500ms, start + 1501ms) == point(8));
        CPPUNIT_ASSERT(view.floor(group, 1500ms, start + 2500ms) == point(9));
        CPPUNIT_ASSERT(!view.floor(group, 1500ms, start + 2501ms));
    }

    void floorsOfAReplacedPrimaryAreDropped()
    {
        LeadershipView view;
        view.snapshot({.records = {record(a, false, 2)}}, start);
        view.addPrimaryPosition(group, point(5), start);
        view.snapshot({.records = {record(a, true, 3)}}, start + 1ms);
        CPPUNIT_ASSERT(view.floor(group, 1s, start));
        view.snapshot({.records = {record(b, false, 4)}}, start + 2ms);
        CPPUNIT_ASSERT(!view.floor(group, 1s, start));
    }

    void encodedRecordsAreDecoded()
    {
        const LeadershipRecord written = record(a, true, 7);
        const PromotionLock lock{VmId("one"), "life-3", ObjectVersion(9)};
        const Result<LeadershipSnapshot> read =
                decodeSnapshot({{leadershipKey(group), written.version, encodeLeadership(written)},
                                {promotionLockKey(), lock.version, encodePromotionLock(lock)}});
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(read.value().records.at(0) == written);
        CPPUNIT_ASSERT(read.value().promotionLock->holder == lock.holder);
        CPPUNIT_ASSERT_EQUAL(lock.incarnation, read.value().promotionLock->incarnation);
    }

    void unreadableRecordFailsTheSnapshot()
    {
        for (const char *text : {"", "[]", "{}", R"({"moving":1,"primary":"a","term":1})",
                                 R"({"moving":true,"primary":"a","term":"1"})"}) {
            const auto read = decodeSnapshot({{leadershipKey(group), ObjectVersion(1), text}});
            CPPUNIT_ASSERT(!read);
            CPPUNIT_ASSERT_EQUAL(leadershipKey(group), read.error().field);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipViewTest);
