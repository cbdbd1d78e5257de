#include "session/termhistory.h"

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::array holdingNames{"holds", "behind", "discarded"};
constexpr LogPosition emptyLog{0};

} // namespace

const char *toString(Holding holding)
{
    return holdingNames[static_cast<std::size_t>(holding)];
}

Holding holding(const TermHistory &history, LogPoint last, LogPoint point)
{
    if (point.position == emptyLog)
        return Holding::Holds;
    if (point.term > lastTerm(history))
        return Holding::Behind;
    if (isDiscarded(history, point))
        return Holding::Discarded;
    return last >= point ? Holding::Holds : Holding::Behind;
}

bool isDiscarded(const TermHistory &history, LogPoint point)
{
    if (point.position == emptyLog || point.term > lastTerm(history))
        return false;
    const auto term =
            std::lower_bound(history.begin(), history.end(), point.term,
                             [](const TermStart &start, Term value) { return start.term < value; });
    if (term == history.end() || term->term != point.term || point.position < term->start)
        return true;
    const auto following = std::next(term);
    return following != history.end() && point.position >= following->start;
}

Term lastTerm(const TermHistory &history)
{
    return history.empty() ? Term() : history.back().term;
}

const TermHistory &laterHistory(const TermHistory &left, const TermHistory &right)
{
    if (lastTerm(left) != lastTerm(right))
        return lastTerm(left) > lastTerm(right) ? left : right;
    return left.size() >= right.size() ? left : right;
}

void trimHistory(TermHistory &history, std::size_t count)
{
    if (history.size() > count)
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(count));
}

bool isPrimaryOfItsTerm(const DatabaseStatus &status)
{
    return status.role == Role::Primary && lastTerm(status.history) == status.term;
}

} // namespace fescuespring
