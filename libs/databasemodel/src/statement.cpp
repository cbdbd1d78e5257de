#include "databasemodel/statement.h"

#include "base/enumnames.h"

#include <array>
#include <charconv>
#include <optional>

namespace fescuespring {

namespace {

constexpr std::array verbNames{"set", "get", "add", "append", "sum"};
constexpr std::string_view workPrefix = "work=";
constexpr double maximumWorkMs = 3'600'000;

Error malformed(std::string message)
{
    return Error{ErrorCode::Malformed, std::move(message)};
}

// Removes the first word and the space after it from text, and returns the word.
std::string_view takeWord(std::string_view &text)
{
    const std::size_t end = text.find(' ');
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return word;
}

template <typename Value>
std::optional<Value> numberOf(std::string_view text)
{
    Value value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool takeWork(std::string_view &text, Duration &work)
{
    if (!text.starts_with(workPrefix))
        return true;
    const auto milliseconds = numberOf<double>(takeWord(text).substr(workPrefix.size()));
    if (!milliseconds || !(*milliseconds >= 0) || *milliseconds > maximumWorkMs)
        return false;
    work = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(*milliseconds));
    return true;
}

bool isUnder(const std::string &key, const std::string &prefix)
{
    return key.starts_with(prefix);
}

} // namespace

bool changesData(StatementVerb verb)
{
    return verb == StatementVerb::Set || verb == StatementVerb::Add
           || verb == StatementVerb::Append;
}

Result<ParsedStatement> parseStatement(std::string_view text)
{
    ParsedStatement statement;
    if (!takeWork(text, statement.work))
        return malformed("work is not a number of milliseconds");
    const auto verb = detail::enumFromName<StatementVerb>(verbNames, takeWord(text));
    if (!verb)
        return malformed("unknown verb");
    statement.verb = *verb;
    statement.key = takeWord(text);
    if (statement.key.empty() && *verb != StatementVerb::Sum)
        return malformed("missing key");
    if (!changesData(*verb) && !text.empty())
        return malformed("too many words");
    statement.text = text;
    if (*verb != StatementVerb::Add)
        return statement;
    const auto amount = numberOf<std::int64_t>(text);
    if (!amount)
        return malformed("summand is not an integer");
    statement.amount = *amount;
    return statement;
}

Result<std::string> Workspace::execute(const ParsedStatement &statement, const Cells &committed)
{
    switch (statement.verb) {
    case StatementVerb::Get:
        return read(statement.key, committed);
    case StatementVerb::Sum:
        return sum(statement.key, committed);
    case StatementVerb::Add:
        return add(statement, committed);
    case StatementVerb::Set:
        m_writes[statement.key] = statement.text;
        return std::string("ok");
    case StatementVerb::Append:
        break;
    }
    const std::string value = read(statement.key, committed) + statement.text;
    m_writes[statement.key] = value;
    return std::to_string(value.size());
}

bool Workspace::conflictsWith(const Cells &committed) const
{
    for (const auto &[key, versionRead] : m_reads) {
        const auto cell = committed.find(key);
        const LogPosition current =
                cell == committed.end() ? LogPosition() : cell->second.writtenAt;
        if (current != versionRead)
            return true;
    }
    return false;
}

std::vector<Effect> Workspace::effects() const
{
    std::vector<Effect> effects;
    effects.reserve(m_writes.size());
    for (const auto &[key, value] : m_writes)
        effects.push_back({key, value});
    return effects;
}

std::string Workspace::read(const std::string &key, const Cells &committed)
{
    const auto own = m_writes.find(key);
    if (own != m_writes.end())
        return own->second;
    const auto cell = committed.find(key);
    const bool found = cell != committed.end();
    m_reads.try_emplace(key, found ? cell->second.writtenAt : LogPosition());
    return found ? cell->second.value : std::string();
}

Result<std::string> Workspace::add(const ParsedStatement &statement, const Cells &committed)
{
    const std::string before = read(statement.key, committed);
    const auto number = before.empty() ? std::int64_t{0} : numberOf<std::int64_t>(before);
    if (!number)
        return Error{ErrorCode::InvalidField, "value is not an integer", statement.key};
    std::int64_t total = 0;
    if (__builtin_add_overflow(*number, statement.amount, &total))
        return Error{ErrorCode::InvalidField, "value out of range", statement.key};
    std::string value = std::to_string(total);
    m_writes[statement.key] = value;
    return value;
}

Result<std::string> Workspace::sum(const std::string &prefix, const Cells &committed) const
{
    std::int64_t total = 0;
    bool inRange = true;
    const auto count = [&total, &inRange](const std::string &value) {
        const std::int64_t number = numberOf<std::int64_t>(value).value_or(0);
        inRange = inRange && !__builtin_add_overflow(total, number, &total);
    };
    for (auto cell = committed.lower_bound(prefix);
         cell != committed.end() && isUnder(cell->first, prefix); ++cell) {
        if (!m_writes.contains(cell->first))
            count(cell->second.value);
    }
    for (auto own = m_writes.lower_bound(prefix);
         own != m_writes.end() && isUnder(own->first, prefix); ++own)
        count(own->second);
    if (!inRange)
        return Error{ErrorCode::InvalidField, "sum out of range", prefix};
    return std::to_string(total);
}

} // namespace fescuespring
