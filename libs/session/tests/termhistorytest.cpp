#include "session/termhistory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

namespace {

constexpr LogPoint at(std::uint64_t term, std::uint64_t position)
{
    return {Term(term), LogPosition(position)};
}

// Term 1 up to 9, term 3 up to 19, term 4 from 20; term 2 was never led or its log was discarded.
const TermHistory history{{Term(1), LogPosition(1)},
                          {Term(3), LogPosition(10)},
                          {Term(4), LogPosition(20)}};

} // namespace

class TermHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TermHistoryTest);
    CPPUNIT_TEST(holdsUpToTheEndOfEachTerm);
    CPPUNIT_TEST(tailOfAnOlderTermIsDiscarded);
    CPPUNIT_TEST(unknownTermIsBehind);
    CPPUNIT_TEST(higherTermOverridesLongerHistory);
    CPPUNIT_TEST(fencedPrimaryIsNotPrimaryOfItsTerm);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsUpToTheEndOfEachTerm()
    {
        assertHolding(Holding::Holds, at(1, 9));
        assertHolding(Holding::Holds, at(3, 10));
        assertHolding(Holding::Holds, at(4, 25));
        assertHolding(Holding::Behind, at(4, 26));
        assertHolding(Holding::Holds, LogPoint());
        CPPUNIT_ASSERT(holding({}, {}, LogPoint()) == Holding::Holds);
    }

    void tailOfAnOlderTermIsDiscarded()
    {
        assertHolding(Holding::Discarded, at(1, 10));
        assertHolding(Holding::Discarded, at(2, 10));
        assertHolding(Holding::Discarded, at(3, 20));
        TermHistory trimmed = history;
        trimHistory(trimmed, 2);
        CPPUNIT_ASSERT(isDiscarded(trimmed, at(1, 5)));
    }

    void unknownTermIsBehind()
    {
        assertHolding(Holding::Behind, at(5, 1));
        CPPUNIT_ASSERT(!isDiscarded(history, at(5, 1)));
    }

    void higherTermOverridesLongerHistory()
    {
        const TermHistory other{{Term(5), LogPosition(12)}};
        CPPUNIT_ASSERT(laterHistory(history, other) == other);
        CPPUNIT_ASSERT(laterHistory(other, history) == other);
    }

    void fencedPrimaryIsNotPrimaryOfItsTerm()
    {
        DatabaseStatus status;
        status.role = Role::Primary;
        status.term = Term(4);
        status.history = history;
        CPPUNIT_ASSERT(isPrimaryOfItsTerm(status));
        status.term = Term(5);
        CPPUNIT_ASSERT(!isPrimaryOfItsTerm(status));
    }

private:
    void assertHolding(Holding expected, LogPoint point)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(toString(expected)),
                             std::string(toString(holding(history, at(4, 25), point))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TermHistoryTest);
