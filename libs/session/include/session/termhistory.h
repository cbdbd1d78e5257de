#pragma once

#include "messages/upstream.h"

namespace fescuespring {

// Relation of a log point to a log or to the history of a group.
enum class Holding {
    // The point is part of the log.
    Holds,

    // The point is not yet part of the log but may become so.
    Behind,

    // The log diverged before the point and will never contain it.
    Discarded,
};

const char *toString(Holding holding);

// Whether a log with this history and the last entry last contains point. Position 0 is the empty
// log, which is part of every log. A point of a term above the last of history is Behind, as the
// log has not reached that term yet. A point of a term that history has skipped or trimmed is
// Discarded.
//
//     if (holding(status.history, status.applied, token.point(group)) == Holding::Holds)
//         serveAt(status.database);
Holding holding(const TermHistory &history, LogPoint last, LogPoint point);

// Whether the group with this history has permanently discarded point.
bool isDiscarded(const TermHistory &history, LogPoint point);

// Last term of history, 0 if it is empty.
Term lastTerm(const TermHistory &history);

// The later of two histories of one group: the one with the higher last term or, if these are
// equal, the one that goes back further. A later history overrides an earlier one, as its primary
// was chosen from a majority that had abandoned the earlier one.
const TermHistory &laterHistory(const TermHistory &left, const TermHistory &right);

// Removes the oldest terms until at most count are left.
void trimHistory(TermHistory &history, std::size_t count);

// Whether the database is the primary of its current term. A fenced primary is not, as its log has
// no entry of the term at which it was fenced.
bool isPrimaryOfItsTerm(const DatabaseStatus &status);

} // namespace fescuespring
