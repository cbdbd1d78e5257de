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
    CPPUNIT_TEST(recordComesBackFromText);
    CPPUNIT_TEST(brokenRecordNamesItsKey);
    CPPUNIT_TEST(silentVmIsGone);
    CPPUNIT_TEST(presenceEndsBeforeAVmCountsAsGone);
    CPPUNIT_TEST(stoppingVmDoesNotCount);
    CPPUNIT_TEST(noticeOfAnEarlierLifeDoesNotCount);
    CPPUNIT_TEST(votesAreCounted);
    CPPUNIT_TEST(answersFollowEachChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // The others must not give up a VM that still trusts what it read.
    void presenceEndsBeforeAVmCountsAsGone()
    {
        CPPUNIT_ASSERT(vmRenewal < vmPresenceLease && vmPresenceLease < vmSilenceLimit);
        VmRegistry registry;
        registry.update(record("one"), start);
        CPPUNIT_ASSERT(!registry.isSilent(record("one"), start + vmSilenceLimit - 1ms));
        CPPUNIT_ASSERT(registry.isSilent(record("one"), start + vmSilenceLimit));
        // The store holds a later record than the one known here, or one never seen.
        CPPUNIT_ASSERT(!registry.isSilent(record("one", 2), start + vmSilenceLimit));
        CPPUNIT_ASSERT(!registry.isSilent(record("two"), start + vmSilenceLimit));
    }

    void recordComesBackFromText()
    {
        VmRecord sent = record("one", 9);
        sent.incarnation = "life-2";
        const auto got = decodeVmRecord(vmKey(sent.vm), encodeVmRecord(sent));
        CPPUNIT_ASSERT(got && got.value() == sent);
        VmNotice notice{.vm = sent.vm, .incarnation = "life-2", .isStopping = true};
        notice.silentDatabases = {DatabaseId("a"), DatabaseId("b")};
        notice.changesRead = {{GroupId("herd"), ObjectVersion(17)}};
        const auto gotNotice = decodeVmNotice(noticeKey(notice.vm), encodeVmNotice(notice));
        CPPUNIT_ASSERT(gotNotice && gotNotice.value() == notice);
    }

    void brokenRecordNamesItsKey()
    {
        for (const char *text : {"", "{}", "7", R"({"dataCentre":"n","ip":"1","port":"x"})",
                                 R"({"incarnation":"a","stopping":false,"silent":[7]})",
                                 R"({"incarnation":"a","stopping":false,"silent":[],
                                     "changesRead":{"herd":"x"}})"}) {
            const auto got = decodeVmRecord("fescue-vms/one", text);
            CPPUNIT_ASSERT(!got);
            CPPUNIT_ASSERT_EQUAL(std::string("fescue-vms/one"), got.error().field);
            const auto gotNotice = decodeVmNotice("fescue-notices/one", text);
            CPPUNIT_ASSERT(!gotNotice);
            CPPUNIT_ASSERT_EQUAL(std::string("fescue-notices/one"), gotNotice.error().field);
        }
    }

    void silentVmIsGone()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        registry.update(record("two"), start);
        registry.update(record("two", 2), start + vmSilenceLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.living(start + vmSilenceLimit).size());
        // The same record again is no sign of life.
        registry.update(record("one"), start + vmSilenceLimit);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.living(start + vmSilenceLimit).size());
        CPPUNIT_ASSERT(vmRenewal * 2 < vmSilenceLimit);
    }

    void stoppingVmDoesNotCount()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        registry.update(VmNotice{.vm = VmId("one"), .isStopping = true});
        registry.update(record("two"), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.rank(VmId("two"), start));
    }

    // Its word of an earlier life stays in the store until it has another.
    void noticeOfAnEarlierLifeDoesNotCount()
    {
        VmRegistry registry;
        VmRecord restarted = record("one");
        restarted.incarnation = "life-2";
        registry.update(restarted, start);
        VmNotice notice{.vm = VmId("one"), .incarnation = "life-1", .isStopping = true};
        notice.silentDatabases = {DatabaseId("a")};
        registry.update(notice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.living(start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.silentCount(DatabaseId("a"), start));
        notice.incarnation = "life-2";
        registry.update(notice);
        CPPUNIT_ASSERT(registry.living(start).empty());
    }

    void votesAreCounted()
    {
        VmRegistry registry;
        for (const char *name : {"one", "two", "three"}) {
            registry.update(record(name), start);
            VmNotice vote{.vm = VmId(name)};
            if (vote.vm != VmId("two"))
                vote.silentDatabases = {DatabaseId("a")};
            registry.update(vote);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, registry.silentCount(DatabaseId("a"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.silentCount(DatabaseId("b"), start));
    }

    // What was worked out once is worked out anew after a vote, a stop, a loss and a silence.
    void answersFollowEachChange()
    {
        VmRegistry registry;
        registry.update(record("one"), start);
        registry.update(record("two"), start + 1s);
        const std::uint64_t version = registry.livingVersion(start + 1s);
        registry.update(record("one", 2), start + 2s);
        VmNotice vote{.vm = VmId("one"), .silentDatabases = {DatabaseId("a")}};
        registry.update(vote);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.silentCount(DatabaseId("a"), start + 2s));
        CPPUNIT_ASSERT_EQUAL(version, registry.livingVersion(start + 2s));
        vote.silentDatabases.clear();
        registry.update(vote);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.silentCount(DatabaseId("a"), start + 3s));
        registry.vanished(VmId("one"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.living(start + 3s).size());
        CPPUNIT_ASSERT(registry.livingVersion(start + 3s) != version);
        // Without any call in between.
        CPPUNIT_ASSERT(registry.living(start + 1s + vmSilenceLimit).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmRegistryTest);
