#include "statements/sessioncontext.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <string>
#include <vector>

using namespace fescuespring;

namespace {

const PreparedStatement price{StatementAccess::Read, "price"};

// The statements that prepare, on a connection without session values.
std::vector<Statement> adopt(ConnectionContext &connection, const PreparedStatement &prepared)
{
    return connection.adopt(SessionContext(), &prepared);
}

} // namespace

class SessionContextTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SessionContextTest);
    CPPUNIT_TEST(shapeNeverBecomesPartOfAPreparedName);
    CPPUNIT_TEST(sessionsShareAPreparedStatement);
    CPPUNIT_TEST(accessesOfOneShapeAreSeparate);
    CPPUNIT_TEST(resetForgetsPreparedStatements);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller's shape with blanks that redefines another caller's prepared
    // statement, as the name at the database contained the shape.
    void shapeNeverBecomesPartOfAPreparedName()
    {
        ConnectionContext connection;
        std::set<std::string> names;
        const std::vector<std::string> shapes{
                "price",  "price WRITE stock",        "price READ a", "a b",
                " price", "price\tWRITE x",           "w1",           "r2",
                "READ",   std::string(1'000'000, 'x')};
        for (const std::string &shape : shapes) {
            for (const StatementAccess access : {StatementAccess::Read, StatementAccess::Write}) {
                const std::vector<Statement> statements = adopt(connection, {access, shape});
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, statements.size());
                const Statement &prepare = statements.front();
                CPPUNIT_ASSERT_EQUAL(shape, prepare.argument);
                CPPUNIT_ASSERT(prepare.name.size() < 24);
                CPPUNIT_ASSERT(prepare.name.find_first_of(" \t") == std::string::npos);
                CPPUNIT_ASSERT_MESSAGE(shape, names.insert(prepare.name).second);
                CPPUNIT_ASSERT_EQUAL(prepare.name, connection.preparedName({access, shape}));
            }
        }
    }

    void sessionsShareAPreparedStatement()
    {
        ConnectionContext connection;
        const std::string name = adopt(connection, price).front().name;
        CPPUNIT_ASSERT(adopt(connection, price).empty());
        CPPUNIT_ASSERT_EQUAL(name, connection.preparedName(price));
    }

    void accessesOfOneShapeAreSeparate()
    {
        ConnectionContext connection;
        adopt(connection, price);
        const PreparedStatement write{StatementAccess::Write, "price"};
        CPPUNIT_ASSERT_EQUAL(std::string(), connection.preparedName(write));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, adopt(connection, write).size());
        CPPUNIT_ASSERT(connection.preparedName(write) != connection.preparedName(price));
    }

    void resetForgetsPreparedStatements()
    {
        ConnectionContext connection;
        SessionContext withValue;
        withValue.apply({.kind = StatementKind::SetValue, .name = "tenant", .argument = "coop-7"});
        connection.adopt(withValue, &price);
        const std::vector<Statement> statements = adopt(connection, price);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, statements.size());
        CPPUNIT_ASSERT(statements[0].kind == StatementKind::Reset);
        CPPUNIT_ASSERT(statements[1].kind == StatementKind::Prepare);
        CPPUNIT_ASSERT_EQUAL(statements[1].name, connection.preparedName(price));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionContextTest);
