#include "customers/customertable.h"
#include "customers/keydigests.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace fescuespring;

class CustomersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CustomersTest);
    CPPUNIT_TEST(digestIsSha256);
    CPPUNIT_TEST(onlyDigestsAreTakenForDigests);
    CPPUNIT_TEST(customerIsFoundByEachOfItsKeys);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against digests that differ between VMs or versions. The value is the example "abc" of
    // FIPS 180-2.
    void digestIsSha256()
    {
        const KeyDigest digest = digestOfKey("abc");
        CPPUNIT_ASSERT_EQUAL(
                std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
                digest.value());
        CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf"), shortDigest(digest));
        CPPUNIT_ASSERT(shortDigest({}).empty());
    }

    // Guards against a clear key that is taken for a digest.
    void onlyDigestsAreTakenForDigests()
    {
        const std::string digest = digestOfKey("k").value();
        CPPUNIT_ASSERT(isKeyDigest(digest));
        CPPUNIT_ASSERT(!isKeyDigest(digest.substr(1)));
        CPPUNIT_ASSERT(!isKeyDigest(digest + '0'));
        CPPUNIT_ASSERT(!isKeyDigest('G' + digest.substr(1)));
        CPPUNIT_ASSERT(!isKeyDigest(""));
    }

    void customerIsFoundByEachOfItsKeys()
    {
        const CustomerTable table(
                {{.id = CustomerId("one"), .keys = {KeyDigest("a")}},
                 {.id = CustomerId("two"), .keys = {KeyDigest("b"), KeyDigest("c")}}});
        CPPUNIT_ASSERT(table.findByKey(KeyDigest("c"))->id == CustomerId("two"));
        CPPUNIT_ASSERT(!table.findByKey(KeyDigest("d")));
        CPPUNIT_ASSERT(!table.findByKey({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomersTest);
