#include "connectionmodel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iomanip>
#include <iostream>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

void print(const std::string &name, const ModelResult &result)
{
    std::cout << std::setw(16) << name << std::fixed << std::setprecision(2) << std::setw(8)
              << result.openedPerSecond << std::setw(8) << result.openingShare * 100 << std::setw(8)
              << result.goodput * 100 << std::setw(8) << result.othersGoodput * 100 << std::setw(8)
              << result.smallGoodput * 100 << std::setw(8)
              << static_cast<double>(result.smallWait.count()) / 1000 << std::setw(8)
              << static_cast<double>(result.smallWait99.count()) / 1000 << std::setw(5)
              << result.maximumConnections << '\n';
}

} // namespace

class ConnectionModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionModelTest);
    CPPUNIT_TEST(ownersByCustomerOpenFewerConnections);
    CPPUNIT_TEST(tableOfTheNote);
    CPPUNIT_TEST_SUITE_END();

public:
    // Failure: with 78 customers before 60 connections, openings take the slots that the
    // statements need.
    void ownersByCustomerOpenFewerConnections()
    {
        const ModelResult any = runConnectionModel(
                {.assignment = Assignment::AnyOwner, .operationsPerSecond = 110});
        const ModelResult byCustomer = runConnectionModel(
                {.assignment = Assignment::OwnerByCustomer, .operationsPerSecond = 110});
        CPPUNIT_ASSERT(byCustomer.openedPerSecond < any.openedPerSecond * 0.6);
        CPPUNIT_ASSERT(byCustomer.goodput > any.goodput && byCustomer.goodput > 0.99);
        CPPUNIT_ASSERT(byCustomer.smallGoodput > 0.99);
        CPPUNIT_ASSERT(byCustomer.smallWait99 < 100ms);
        // 95 % of the limit of the database.
        CPPUNIT_ASSERT(byCustomer.maximumConnections <= 57);
    }

    // Prints the table of docs/design/connections.md if CONNECTION_MODEL is set.
    void tableOfTheNote()
    {
        if (!std::getenv("CONNECTION_MODEL"))
            return;
        for (const double surge : {1.0, 7.0}) {
            for (const double operationsPerSecond : {70.0, 110.0})
                printLoad({.operationsPerSecond = operationsPerSecond, .surge = surge});
        }
    }

private:
    static void printLoad(ModelOptions options)
    {
        std::cout << "\n"
                  << options.operationsPerSecond << " operations/s, surge " << options.surge
                  << ": opened/s, opening %, goodput %, others %, small %, small wait ms, p99 ms, "
                     "connections\n";
        for (const auto &[name, assignment] : std::vector<std::pair<std::string, Assignment>>{
                     {"any owner", Assignment::AnyOwner},
                     {"by customer", Assignment::OwnerByCustomer},
                     {"one owner each", Assignment::OneOwnerEach},
                     {"ungrouped", Assignment::Ungrouped},
                     {"reserved", Assignment::Reserved}}) {
            options.assignment = assignment;
            print(name, runConnectionModel(options));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionModelTest);
