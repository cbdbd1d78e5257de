#include "databasemodel/log.h"

#include "base/enumnames.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::array outcomeNames{"entries", "diverged", "refused"};

// Last position of the term at this index of history; end is the last position of the log.
LogPosition lastOfTerm(const TermHistory &history, std::size_t index, LogPosition end)
{
    if (index + 1 == history.size())
        return end;
    return LogPosition(history[index + 1].start.value() - 1);
}

} // namespace

const char *toString(LogOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

std::optional<LogOutcome> logOutcomeFromString(std::string_view text)
{
    return detail::enumFromName<LogOutcome>(outcomeNames, text);
}

void Log::append(LogEntry entry)
{
    if (m_history.empty() || m_history.back().term != entry.term)
        m_history.push_back({entry.term, end().next()});
    m_entries.push_back(std::move(entry));
}

void Log::truncate(LogPosition position)
{
    if (position >= end())
        return;
    m_entries.resize(position.value());
    while (!m_history.empty() && m_history.back().start > position)
        m_history.pop_back();
}

const LogEntry &Log::at(LogPosition position) const
{
    return m_entries[position.value() - 1];
}

LogPosition Log::end() const
{
    return LogPosition(m_entries.size());
}

LogPoint Log::tip() const
{
    return point(end());
}

LogPoint Log::point(LogPosition position) const
{
    if (position == LogPosition())
        return {};
    return {at(position).term, position};
}

bool Log::holds(const LogPoint &wanted) const
{
    return wanted.position <= end() && point(wanted.position) == wanted;
}

const TermHistory &Log::history() const
{
    return m_history;
}

LogPosition lastCommonPosition(const Log &log, const TermHistory &otherHistory,
                               const LogPoint &otherTip)
{
    const TermHistory &own = log.history();
    for (std::size_t i = own.size(); i-- > 0;) {
        const auto shared = std::find(otherHistory.begin(), otherHistory.end(), own[i]);
        if (shared == otherHistory.end())
            continue;
        const auto index = static_cast<std::size_t>(shared - otherHistory.begin());
        return std::min(lastOfTerm(own, i, log.end()),
                        lastOfTerm(otherHistory, index, otherTip.position));
    }
    return LogPosition();
}

} // namespace fescuespring
