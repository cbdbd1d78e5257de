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
    const auto [entry, isNew] = m_prepared.try_emplace(*prepared);
    if (isNew) {
        const char *prefix = prepared->access == StatementAccess::Write ? "w" : "r";
        entry->second = prefix + std::to_string(++m_lastPreparedNumber);
        statements.push_back({.kind = StatementKind::Prepare,
                              .name = entry->second,
                              .access = prepared->access,
                              .argument = prepared->shape});
    }
    return statements;
}

std::string ConnectionContext::preparedName(const PreparedStatement &prepared) const
{
    const auto found = m_prepared.find(prepared);
    return found == m_prepared.end() ? std::string() : found->second;
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
