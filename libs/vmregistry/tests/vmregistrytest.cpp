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
    CPPUNIT_TEST(stoppingVmDoesNotCount);
    CPPUNIT_TEST(votesAreCounted);
    CPPUNIT_TEST(answersFollowEachChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordComesBackFromText()
    {
        VmRecord sent = record("one", 9);
        sent.isStopping = true;
        sent.silentDatabases = {DatabaseId("a"), DatabaseId("b")};
        const auto got = decodeVmRecord(vmKey(sent.vm), encodeVmRecord(sent));
        CPPUNIT_ASSERT(got && got.value() == sent);
    }

    void brokenRecordNamesItsKey()
    {
        for (const char *text : {"", "{}", "7", R"({"dataCentre":"n","ip":"1","port":"x"})"}) {
            const auto got = decodeVmRecord("fescue-vms/one", text);
            CPPUNIT_ASSERT(!got);
            CPPUNIT_ASSERT_EQUAL(std::string("fescue-vms/one"), got.error().field);
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
        VmRecord stopping = record("one");
        stopping.isStopping = true;
        registry.update(stopping, start);
        registry.update(record("two"), start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.rank(VmId("two"), start));
    }

    void votesAreCounted()
    {
        VmRegistry registry;
        for (const char *name : {"one", "two", "three"}) {
            VmRecord vote = record(name);
            if (vote.vm != VmId("two"))
                vote.silentDatabases = {DatabaseId("a")};
            registry.update(vote, start);
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
        VmRecord vote = record("one", 2);
        vote.silentDatabases = {DatabaseId("a")};
        registry.update(vote, start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.silentCount(DatabaseId("a"), start + 2s));
        CPPUNIT_ASSERT_EQUAL(version, registry.livingVersion(start + 2s));
        registry.update(record("one", 3), start + 3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, registry.silentCount(DatabaseId("a"), start + 3s));
        registry.vanished(VmId("one"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry.living(start + 3s).size());
        CPPUNIT_ASSERT(registry.livingVersion(start + 3s) != version);
        // Without any call in between.
        CPPUNIT_ASSERT(registry.living(start + 1s + vmSilenceLimit).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmRegistryTest);
