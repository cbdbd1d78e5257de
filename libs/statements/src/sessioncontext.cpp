#include "statements/sessioncontext.h"

#include <utility>

namespace fescuespring {

SessionContext::SessionContext(std::map<std::string, std::string> values)
    : m_values(std::move(values))
{}

void SessionContext::apply(const Statement &statement)
{
    switch (statement.kind) {
    case StatementKind::SetValue:
        m_values[statement.name] = statement.argument;
        break;
    case StatementKind::Prepare:
        m_prepared[statement.name] = {statement.access, statement.argument};
        break;
    case StatementKind::Deallocate:
        m_prepared.erase(statement.name);
        break;
    default:
        break;
    }
}

const PreparedStatement *SessionContext::prepared(const std::string &name) const
{
    const auto found = m_prepared.find(name);
    return found == m_prepared.end() ? nullptr : &found->second;
}

std::string sharedName(const PreparedStatement &prepared)
{
    return (prepared.access == StatementAccess::Write ? "w" : "r") + prepared.shape;
}

bool ConnectionContext::holdsForeignValues(const SessionContext &context) const
{
    for (const auto &[name, value] : m_values) {
        if (!context.values().contains(name))
            return true;
    }
    return false;
}

std::vector<Statement> ConnectionContext::adopt(const SessionContext &context,
                                                const PreparedStatement *prepared)
{
    std::vector<Statement> statements;
    if (holdsForeignValues(context)) {
        statements.push_back({.kind = StatementKind::Reset});
        m_values.clear();
        m_prepared.clear();
    }
    for (const auto &[name, value] : context.values()) {
        const auto current = m_values.find(name);
        if (current != m_values.end() && current->second == value)
            continue;
        statements.push_back({.kind = StatementKind::SetValue, .name = name, .argument = value});
        m_values[name] = value;
    }
    if (!prepared)
        return statements;
    const std::string name = sharedName(*prepared);
    if (m_prepared.insert(name).second) {
        statements.push_back({.kind = StatementKind::Prepare,
                              .name = name,
                              .access = prepared->access,
                              .argument = prepared->shape});
    }
    return statements;
}

std::size_t ConnectionContext::distance(const SessionContext &context) const
{
    std::size_t distance = holdsForeignValues(context) ? m_values.size() + 1 : 0;
    for (const auto &[name, value] : context.values()) {
        const auto current = m_values.find(name);
        if (current == m_values.end() || current->second != value)
            ++distance;
    }
    return distance;
}

} // namespace fescuespring
