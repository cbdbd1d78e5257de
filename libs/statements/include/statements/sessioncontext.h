#pragma once

#include "statements/statement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescuespring {

struct PreparedStatement
{
    StatementAccess access = StatementAccess::Read;
    std::string shape;
};

// What a caller's session has set up: values, and prepared statements by the caller's names. Kept
// by this VM and brought to whichever connection runs the session's next statement.
class SessionContext
{
public:
    SessionContext() = default;
    explicit SessionContext(std::map<std::string, std::string> values);

    // Applies a SetValue, Prepare or Deallocate statement.
    void apply(const Statement &statement);

    // The prepared statement of a caller's name; nothing if there is none.
    const PreparedStatement *prepared(const std::string &name) const;

    const std::map<std::string, std::string> &values() const
    {
        return m_values;
    }

private:
    std::map<std::string, std::string> m_values;
    std::map<std::string, PreparedStatement> m_prepared;
};

// The name that a prepared statement has at every database: the same for all sessions that prepare
// the same thing, so that a connection prepares it once.
std::string sharedName(const PreparedStatement &prepared);

// What one connection to a database holds of values and prepared statements.
class ConnectionContext
{
public:
    // The statements that bring the connection to the values of context and, where prepared is
    // set, to that prepared statement, in order; the connection is taken to be there afterwards.
    // In a transaction nothing is reset, as a session's values only grow.
    std::vector<Statement> adopt(const SessionContext &context, const PreparedStatement *prepared);

    // How many statements adopt would give, about; for choosing a connection.
    std::size_t distance(const SessionContext &context) const;

private:
    bool holdsForeignValues(const SessionContext &context) const;

    std::map<std::string, std::string> m_values;
    std::set<std::string> m_prepared;
};

} // namespace fescuespring
