#include "leadership/leadershipview.h"

#include "store/objectversion.h"

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

// A record that was written in an epoch and is stored in the same or a later one.
LeadershipRecord recordOf(const DatabaseId &primary, std::uint64_t term, std::uint64_t writtenIn,
                          std::uint64_t storedIn)
{
    return {.group = group,
            .primary = primary,
            .term = Term(term),
            .version = makeObjectVersion(StoreEpoch(storedIn), 10 + term),
            .epoch = StoreEpoch(writtenIn)};
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
    CPPUNIT_TEST(baseOfATermIsOptional);
    CPPUNIT_TEST(unreadableRecordFailsTheSnapshot);
    CPPUNIT_TEST(encodedDeparturesAreDecoded);
    CPPUNIT_TEST(unreadableDeparturesFailTheSnapshot);
    CPPUNIT_TEST(objectOfAnotherWriterIsIgnored);
    CPPUNIT_TEST(restoredRecordLacksTheChange);
    CPPUNIT_TEST(missingRecordIsEvidenceInTheOriginalStoreOnly);
    CPPUNIT_TEST(presenceOfAnEarlierEpochGivesNoLease);
    CPPUNIT_TEST(answerFromBeforeTheRestoreIsIgnored);
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

    // Guards against a replaced primary that is trusted again because the store was restored to a
    // copy from before the change.
    void restoredRecordLacksTheChange()
    {
        for (const bool isRecordLost : {false, true}) {
            LeadershipView view;
            view.snapshot({.records = {recordOf(b, 2, 1, 1)}, .epoch = StoreEpoch(1)}, start);
            CPPUNIT_ASSERT(view.isLeading(group, b, start));
            LeadershipSnapshot restored{.epoch = StoreEpoch(2)};
            if (!isRecordLost)
                restored.records = {recordOf(a, 1, 1, 2)};
            view.snapshot(restored, start + 1s);
            CPPUNIT_ASSERT(!view.isLeading(group, a, start + 1s));
            CPPUNIT_ASSERT(!view.isLeading(group, b, start + 1s));
            CPPUNIT_ASSERT(view.primary(group)->database == b && view.primary(group)->isChanging);
            CPPUNIT_ASSERT(view.record(group).term == Term(2));
            // What the next write of the record depends on.
            const ObjectVersion stored =
                    isRecordLost ? ObjectVersion() : restored.records.front().version;
            CPPUNIT_ASSERT(view.record(group).version == stored);
            view.snapshot({.records = {recordOf(b, 2, 2, 2)}, .epoch = StoreEpoch(2)}, start + 2s);
            CPPUNIT_ASSERT(view.isLeading(group, b, start + 2s));
        }
    }

    void missingRecordIsEvidenceInTheOriginalStoreOnly()
    {
        LeadershipView view;
        view.setReportedPrimary(group, a);
        view.snapshot({.epoch = StoreEpoch(4), .origin = StoreEpoch(4)}, start);
        CPPUNIT_ASSERT(view.isLeading(group, a, start));
        view.snapshot({.epoch = StoreEpoch(5), .origin = StoreEpoch(4)}, start + 1ms);
        CPPUNIT_ASSERT(!view.isLeading(group, a, start + 1ms));
        LeadershipView other;
        other.setReportedPrimary(group, a);
        other.snapshot({.epoch = StoreEpoch(4)}, start);
        CPPUNIT_ASSERT(!other.isLeading(group, a, start));
    }

    // Guards against a lease that other VMs do not wait for, as the record of this VM was lost.
    void presenceOfAnEarlierEpochGivesNoLease()
    {
        LeadershipView view;
        view.limitLease({.since = start, .end = start + 20s, .epoch = StoreEpoch(1)});
        view.snapshot({.records = {recordOf(a, 1, 2, 2)}, .epoch = StoreEpoch(2)}, start + 1s);
        CPPUNIT_ASSERT(!view.holdsLease(start + 1s));
        view.limitLease({.since = start + 1s, .end = start + 21s, .epoch = StoreEpoch(2)});
        CPPUNIT_ASSERT(view.holdsLease(start + 1s));
    }

    void answerFromBeforeTheRestoreIsIgnored()
    {
        LeadershipView view;
        view.snapshot({.records = {recordOf(b, 2, 2, 2)}, .epoch = StoreEpoch(2)}, start);
        view.snapshot({.records = {recordOf(a, 3, 1, 1)}, .epoch = StoreEpoch(1)}, start + 1s);
        view.applyRecord(recordOf(a, 3, 1, 1));
        CPPUNIT_ASSERT(view.primary(group)->database == b);
        CPPUNIT_ASSERT(view.askedAt() == start);
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

    void encodedDeparturesAreDecoded()
    {
        const DepartureRecord written{
                .group = group,
                .databases = {{DatabaseId("b"), {"10.0.0.2", 8000}, 17},
                              {DatabaseId("c"), {"10.0.0.3", 65535}, 1'700'000'000'000}},
                .version = ObjectVersion(4)};
        const auto read =
                decodeSnapshot({{departureKey(group), written.version, encodeDepartures(written)}});
        CPPUNIT_ASSERT(read && read.value().departures.size() == 1);
        const DepartureRecord &decoded = read.value().departures.front();
        CPPUNIT_ASSERT(decoded.group == group && decoded.version == written.version);
        CPPUNIT_ASSERT(decoded.databases == written.databases);
    }

    // Guards against a database that left and is not counted, as its record was damaged.
    void unreadableDeparturesFailTheSnapshot()
    {
        for (const char *text :
             {"", "[]", "{}", R"({"databases":7})", R"({"databases":[7]})",
              R"({"databases":[{"database":"b","ip":"10.0.0.2","port":80}]})",
              R"({"databases":[{"database":"b","ip":"1","port":0,"started":1}]})",
              R"({"databases":[{"database":"b","ip":"1","port":65536,"started":1}]})"}) {
            const auto read = decodeSnapshot({{departureKey(group), ObjectVersion(4), text}});
            CPPUNIT_ASSERT_MESSAGE(text, !read && read.error().code == ErrorCode::Malformed);
        }
    }

    // Records of earlier versions have no base; one that another writer damaged counts as unknown.
    void baseOfATermIsOptional()
    {
        LeadershipRecord written = record(a, false, 7);
        written.base = LogPoint{Term(1), LogPosition(50)};
        const auto read = decodeSnapshot(
                {{leadershipKey(group), written.version, encodeLeadership(written)}});
        CPPUNIT_ASSERT(read && read.value().records.at(0) == written);
        for (const char *base : {"", R"(,"base":7)", R"(,"base":"1.")", R"(,"base":"x.5")",
                                 R"(,"base":"99999999999999999999.5")"}) {
            const std::string text =
                    R"({"moving":false,"primary":"a","term":1)" + std::string(base) + '}';
            const auto other = decodeSnapshot({{leadershipKey(group), ObjectVersion(1), text}});
            CPPUNIT_ASSERT(other && !other.value().records.at(0).base);
        }
    }

    // Guards against VMs that get no lease on any group because of one object of another writer.
    void objectOfAnotherWriterIsIgnored()
    {
        const LeadershipRecord written = record(a, true, 7);
        const std::string foreignKey = std::string(leadershipKeyPrefix) + "odd";
        for (const char *text : {"", "[]", "{}"}) {
            const auto read = decodeSnapshot(
                    {{leadershipKey(group), written.version, encodeLeadership(written)},
                     {foreignKey, ObjectVersion(8), text}});
            CPPUNIT_ASSERT(read && read.value().records.at(0) == written);
            CPPUNIT_ASSERT(read.value().ignoredKeys == std::vector<std::string>{foreignKey});
        }
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
