#include "fescuesoak/ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;
using namespace std::chrono_literals;

// Faults that are planted in what callers and databases report, each of which the ledger must find.
class LedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LedgerTest);
    CPPUNIT_TEST(cleanRunHasNoViolation);
    CPPUNIT_TEST(staleReadIsFound);
    CPPUNIT_TEST(cutOffWriteNeedNotBeSeen);
    CPPUNIT_TEST(replacedPrimaryIsFound);
    CPPUNIT_TEST(secondCommitIsFound);
    CPPUNIT_TEST(keptRefusalIsFound);
    CPPUNIT_TEST(unaskedCommitIsFound);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char *group = "group0";

    static Instant at(std::chrono::milliseconds time)
    {
        return Instant(time);
    }

    static std::vector<TermBeginning> firstTerm(const std::string &)
    {
        return {{Term(1), LogPosition(1), at(0ms)}};
    }

    static std::vector<TermBeginning> secondTerm(const std::string &)
    {
        return {{Term(1), LogPosition(1), at(0ms)}, {Term(2), LogPosition(5), at(500ms)}};
    }

    static void write(Ledger &ledger, const std::string &id, std::uint64_t value,
                      std::uint64_t position, std::chrono::milliseconds time)
    {
        ledger.sent({RequestId(id), group, "a", value, at(time)});
        ledger.committed(group,
                         {{RequestId(id)}, {Term(1), LogPosition(position)}, at(time + 1ms)});
        ledger.ended(RequestId(id), WriteFate::Acknowledged, at(time + 2ms));
    }

    static void read(Ledger &ledger, std::uint64_t value, std::chrono::milliseconds time)
    {
        ledger.read({group, "a", value, at(time), at(time), "db"});
    }

    static std::string rules(const std::vector<SoakViolation> &violations)
    {
        std::string text;
        for (const SoakViolation &violation : violations)
            text += violation.rule + ' ';
        return text;
    }

    void cleanRunHasNoViolation()
    {
        Ledger ledger;
        read(ledger, 0, 5ms);
        write(ledger, "1", 1, 2, 10ms);
        read(ledger, 1, 20ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), rules(ledger.violations(firstTerm)));
    }

    void staleReadIsFound()
    {
        Ledger ledger;
        write(ledger, "1", 1, 2, 10ms);
        write(ledger, "2", 2, 3, 20ms);
        // The second was acknowledged at 22 ms.
        read(ledger, 1, 21ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), rules(ledger.violations(firstTerm)));
        read(ledger, 1, 22ms);
        CPPUNIT_ASSERT_EQUAL(std::string("stale "), rules(ledger.violations(firstTerm)));
    }

    void cutOffWriteNeedNotBeSeen()
    {
        Ledger ledger;
        write(ledger, "1", 1, 4, 10ms);
        write(ledger, "2", 2, 5, 20ms);
        read(ledger, 1, 600ms);
        CPPUNIT_ASSERT_EQUAL(std::string(), rules(ledger.violations(secondTerm)));
        read(ledger, 0, 600ms);
        CPPUNIT_ASSERT_EQUAL(std::string("stale "), rules(ledger.violations(secondTerm)));
    }

    void replacedPrimaryIsFound()
    {
        Ledger ledger;
        write(ledger, "1", 1, 9, 510ms);
        CPPUNIT_ASSERT_EQUAL(std::string("acknowledged-by-replaced-primary "),
                             rules(ledger.violations(secondTerm)));
    }

    void secondCommitIsFound()
    {
        Ledger ledger;
        write(ledger, "1", 1, 2, 10ms);
        ledger.committed(group, {{RequestId("1")}, {Term(1), LogPosition(3)}, at(15ms)});
        CPPUNIT_ASSERT_EQUAL(std::string("twice "), rules(ledger.violations(firstTerm)));
    }

    void keptRefusalIsFound()
    {
        Ledger ledger;
        ledger.sent({RequestId("1"), group, "a", 1, at(10ms)});
        ledger.ended(RequestId("1"), WriteFate::NotRun, at(11ms));
        CPPUNIT_ASSERT_EQUAL(std::string(), rules(ledger.violations(firstTerm)));
        ledger.committed(group, {{RequestId("1")}, {Term(1), LogPosition(2)}, at(15ms)});
        CPPUNIT_ASSERT_EQUAL(std::string("kept-after-refusal "),
                             rules(ledger.violations(firstTerm)));
    }

    void unaskedCommitIsFound()
    {
        Ledger ledger;
        ledger.committed(group, {{RequestId("9")}, {Term(1), LogPosition(2)}, at(15ms)});
        CPPUNIT_ASSERT_EQUAL(std::string("unasked "), rules(ledger.violations(firstTerm)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
