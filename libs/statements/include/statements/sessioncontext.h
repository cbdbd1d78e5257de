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

// State of a caller's session: values, and prepared statements by the caller's names. Kept by this
// VM and applied to the connection that runs the session's next statement.
class SessionContext
{
public:
    SessionContext() = default;
    explicit SessionContext(std::map<std::string, std::string> values);

    // Applies a SetValue, Prepare or Deallocate statement.
    void apply(const Statement &statement);

    // The prepared statement with the caller's name; null if there is none.
    const PreparedStatement *prepared(const std::string &name) const;

    const std::map<std::string, std::string> &values() const
    {
        return m_values;
    }

private:
    std::map<std::string, std::string> m_values;
    std::map<std::string, PreparedStatement> m_prepared;
};

// The name of a prepared statement at the databases: the same for all sessions that prepare the
// same shape with the same access, so that each connection prepares it only once.
std::string sharedName(const PreparedStatement &prepared);

// Session values and prepared statements currently set on a connection to a database.
class ConnectionContext
{
public:
    // Returns the statements, in order, that set the connection to the values of context and, if
    // prepared is set, create that prepared statement. Assumes that they are then run successfully.
    // Within a transaction nothing is reset, as a session never removes values.
    std::vector<Statement> adopt(const SessionContext &context, const PreparedStatement *prepared);

    // Approximate number of statements that adopt would return; for choosing a connection.
    std::size_t distance(const SessionContext &context) const;

private:
    bool holdsForeignValues(const SessionContext &context) const;

    std::map<std::string, std::string> m_values;
    std::set<std::string> m_prepared;
};

} // namespace fescuespring
