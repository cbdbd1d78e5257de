#pragma once

#include "statements/statement.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace fescuespring {

struct PreparedStatement
{
    StatementAccess access = StatementAccess::Read;
    std::string shape;

    bool operator<(const PreparedStatement &other) const
    {
        return std::tie(access, shape) < std::tie(other.access, other.shape);
    }
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

// Session values and prepared statements currently set on a connection to a database. Sessions that
// prepare the same shape with the same access share one prepared statement of the connection. Its
// name there is a number, since a shape may contain anything, and is not related to callers' names.
class ConnectionContext
{
public:
    // Returns the statements, in order, that set the connection to the values of context and, if
    // prepared is set, create that prepared statement. Assumes that they are then run successfully.
    // Within a transaction nothing is reset, as a session never removes values.
    std::vector<Statement> adopt(const SessionContext &context, const PreparedStatement *prepared);

    // The name on this connection of a prepared statement that it has adopted; empty otherwise.
    std::string preparedName(const PreparedStatement &prepared) const;

    // Approximate number of statements that adopt would return; for choosing a connection.
    std::size_t distance(const SessionContext &context) const;

private:
    bool holdsForeignValues(const SessionContext &context) const;

    std::map<std::string, std::string> m_values;
    std::map<PreparedStatement, std::string> m_prepared;
    std::uint64_t m_lastPreparedNumber = 0;
};

} // namespace fescuespring
