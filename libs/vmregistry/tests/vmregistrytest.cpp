#include "vmregistry/vmregistry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

const Instant start{std::chrono::hours(1)};

VmRecord record(const std::string &name, std::uint64_t renewal = 1)
{
    return {.vm = VmId(name),
            .dataCentre = DataCentreId("north"),
            .peers = {"10.0.0.1", 7440},
            .relay = {"10.0.0.1", 7441},
            .renewal = renewal};
}

} // namespace

class VmRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VmRegistryTest);
    CPPUNIT_TEST(recordRoundTrips);
    CPPUNIT_TEST(errorOfAnInvalidRecordNamesItsKey);
    CPPUNIT_TEST(recordWithAPortOutOfRangeIsRejected);
    CPPUNIT_TEST(vmWithoutRenewalIsGone);
    CPPUNIT_TEST(presenceLeaseEndsBeforeTheRecordExpires);
    CPPUNIT_TEST(stoppingVmIsNotLive);
    CPPUNIT_TEST(noticeOfAPreviousIncarnationIsIgnored);
    CPPUNIT_TEST(reportsOfUnresponsiveDatabasesAreCounted);
    CPPUNIT_TEST(reportingVmsRankFirst);
    CPPUNIT_TEST(confirmationsAreCounted);
    CPPUNIT_TEST(noticeWithoutConfirmationsIsRead);
    CPPUNIT_TEST(cachedResultsFollowEachChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Other VMs must not treat a VM as gone while it still relies on what it read.
    void presenceLeaseEndsBeforeTheRecordExpires()
    {
        CPPUNIT_ASSERT(vmRenewalInterval < vmPresenceLease && vmPresenceLease < vmRecordExpiry);
        VmRegistry registry;
        registry.update(record("one"), start);
        CPPUNIT_ASSERT(!registry.isExpired(record("one"), start + vmRecordExpiry - 1ms));
        CPPUNIT_ASSERT(registry.isExpired(record("one"), start + vmRecordExpiry));
        // The store holds a newer record than the registry, or one that the registry lacks.
        CPPUNIT_ASSERT(!registry.isExpired(record("one", 2), start + vmRecordExpiry));
        CPPUNIT_ASSERT(!registry.isExpired(record("two"), start + vmRecordExpiry));
    }

    // Guards against a port that is truncated to that of another service.
    void recordWithAPortOutOfRangeIsRejected()
    {
        const std::string text = encodeVmRecord(record("one"));
        for (const char *port : {"72976", "-1", "1e400"}) {
            std::string odd = text;
            odd.replace(odd.find("7440"), 4, port);
            CPPUNIT_ASSERT_MESSAGE(port, !decodeVmRecord(vmKey(VmId("one")), odd));
        }
        CPPUNIT_ASSERT(!decodeVmRecord(vmKey(VmId("one")), std::string(200, '[')));
    }

    void recordRoundTrips()
    {
        VmRecord sent = record("one", 9);
        sent.incarnation = "run-2";
        const auto decoded = decodeVmRecord(vmKey(sent.vm), encodeVmRecord(sent));
        CPPUNIT_ASSERT(decoded && decoded.value() == sent);
        VmNotice notice{.vm = sent.vm, .incarnation = "run-2", .isStopping = true};
        notice.unresponsiveDatabases = {DatabaseId("a"), DatabaseId("b")};
        notice.changesRead = {{GroupId("herd"), ObjectVersion(17)}};
        const auto decodedNotice = decodeVmNotice(noticeKey(notice.vm), encodeVmNotice(notice));
        CPPUNIT_ASSERT(decodedNotice && decodedNotice.value() == notice);
    }

    void errorOfAnInvalidRecordNamesItsKey()
    {
        for (const char *text : {"", "{}", "7", R"({"dataCentre":"n","ip":"1","port":"x"})",
                                 R"({"incarnation":"a","stopping":false,"silent":[7]})",
                                 R"({"incarnation":"a","stopping":false,"silent":[],
                                     "changesRead":{"herd":"x"}})"}) {
            const auto decoded = decodeVmRecord("fescue-vms/one", text);
            CPPUNIT_ASSERT(!decoded);
            CPPUNIT_ASSERT_EQUAL(std::string("fescue-vms/one"), decoded.error().field);
            const auto decodedNotice = decodeVmNotice("fescue-notices/one", text);
            CPPUNIT_ASSERT(!decodedNotice);
            CPPUNIT_ASSERT_EQUAL(std::string("fescue-notices/one"), decodedNotice.error().field);
        }
    }

    void vmWithoutRenewalIsGone()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        registry.update(record("two"), start);
        registry.update(record("two", 2), start + vmRecordExpiry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.liveVms(start + vmRecordExpiry).size());
        // An unchanged record does not extend the expiry.
        registry.update(record("one"), start + vmRecordExpiry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.liveVms(start + vmRecordExpiry).size());
        CPPUNIT_ASSERT(vmRenewalInterval * 2 < vmRecordExpiry);
    }

    void stoppingVmIsNotLive()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        registry.update(VmNotice{.vm = VmId("one"), .isStopping = true});
        registry.update(record("two"), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.rank(VmId("two"), start));
    }

    // The notice of a previous incarnation stays in the store until the VM writes a new one.
    void noticeOfAPreviousIncarnationIsIgnored()
    {
        VmRegistry registry;
        VmRecord restarted = record("one");
        restarted.incarnation = "run-2";
        registry.update(restarted, start);
        VmNotice notice{.vm = VmId("one"), .incarnation = "run-1", .isStopping = true};
        notice.unresponsiveDatabases = {DatabaseId("a")};
        registry.update(notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.liveVms(start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.unresponsiveCount(DatabaseId("a"), start));
        notice.incarnation = "run-2";
        registry.update(notice);
        CPPUNIT_ASSERT(registry.liveVms(start).empty());
    }

    void reportsOfUnresponsiveDatabasesAreCounted()
    {
        VmRegistry registry;
        for (const char *name : {"one", "two", "three"}) {
            registry.update(record(name), start);
            VmNotice notice{.vm = VmId(name)};
            if (notice.vm != VmId("two"))
                notice.unresponsiveDatabases = {DatabaseId("a")};
            registry.update(notice);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.unresponsiveCount(DatabaseId("a"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.unresponsiveCount(DatabaseId("b"), start));
    }

    // Pattern: the VMs that are first by name are cut off together with the database.
    void reportingVmsRankFirst()
    {
        VmRegistry registry;
        for (const char *name : {"a-1", "a-2", "b-1", "b-2"})
            registry.update(record(name), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.rankAfterReports(VmId("b-1"), start));
        registry.update(
                VmNotice{.vm = VmId("b-1"), .unresponsiveDatabases = {DatabaseId("primary")}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.rankAfterReports(VmId("b-1"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.rankAfterReports(VmId("a-1"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, registry.rankAfterReports(VmId("b-2"), start));
    }

    void confirmationsAreCounted()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        const VmNotice notice{.vm = VmId("one"), .confirmedDatabases = {DatabaseId("a")}};
        const Result<VmNotice> read =
                decodeVmNotice(noticeKey(VmId("one")), encodeVmNotice(notice));
        CPPUNIT_ASSERT(read && read.value() == notice);
        registry.update(read.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.confirmingCount(DatabaseId("a"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.unresponsiveCount(DatabaseId("a"), start));
    }

    // VMs of an earlier version do not confirm.
    void noticeWithoutConfirmationsIsRead()
    {
        const Result<VmNotice> read = decodeVmNotice(
                noticeKey(VmId("one")),
                R"({"incarnation":"x","stopping":false,"silent":["a"],"changesRead":{}})");
        CPPUNIT_ASSERT(read && read.value().confirmedDatabases.empty());
    }

    // Cached results are recomputed after a notice, the removal of a VM and the expiry of a record.
    void cachedResultsFollowEachChange()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        registry.update(record("two"), start + 1s);
        const std::uint64_t version = registry.liveVersion(start + 1s);
        registry.update(record("one", 2), start + 2s);
        VmNotice notice{.vm = VmId("one"), .unresponsiveDatabases = {DatabaseId("a")}};
        registry.update(notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             registry.unresponsiveCount(DatabaseId("a"), start + 2s));
        CPPUNIT_ASSERT_EQUAL(version, registry.liveVersion(start + 2s));
        notice.unresponsiveDatabases.clear();
        registry.update(notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             registry.unresponsiveCount(DatabaseId("a"), start + 3s));
        registry.remove(VmId("one"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.liveVms(start + 3s).size());
        CPPUNIT_ASSERT(registry.liveVersion(start + 3s) != version);
        // The expiry takes effect without any update.
        CPPUNIT_ASSERT(registry.liveVms(start + 1s + vmRecordExpiry).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmRegistryTest);
