#include "blackboard/blackboard.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

class SectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SectionTest);
    CPPUNIT_TEST(snapshotIsNotChangedByWrites);
    CPPUNIT_TEST(readerReturnsLatestValue);
    CPPUNIT_TEST(subscriberIsCalledWithEachValue);
    CPPUNIT_TEST_SUITE_END();

public:
    void snapshotIsNotChangedByWrites()
    {
        Section<int> section;
        section.write(1);
        const Section<int>::Snapshot snapshot = section.snapshot();
        section.write(2);
        CPPUNIT_ASSERT_EQUAL(1, *snapshot);
        CPPUNIT_ASSERT_EQUAL(2, *section.snapshot());
    }

    void readerReturnsLatestValue()
    {
        Blackboard board;
        SectionReader<MembersView> reader(board.members);
        CPPUNIT_ASSERT(!reader.current().mayAct);
        board.members.write({.members = {}, .mayAct = true});
        CPPUNIT_ASSERT(reader.current().mayAct);
    }

    void subscriberIsCalledWithEachValue()
    {
        Section<int> section;
        int sum = 0;
        section.subscribe([&sum](const int &value) { sum += value; });
        section.write(3);
        section.write(4);
        CPPUNIT_ASSERT_EQUAL(7, sum);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SectionTest);
