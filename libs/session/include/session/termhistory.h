#pragma once

#include "messages/upstream.h"

namespace fescuespring {

// What a log, or the history of a group, says of one point.
enum class Holding {
    // The point is part of the log.
    Holds,

    // The point is not yet part of the log; it may become so.
    Behind,

    // The log branched off before the point; it will never hold it.
    Discarded,
};

const char *toString(Holding holding);

// Whether a log of this history whose last entry is last holds point. The point of position 0 is
// the empty log, which every log holds. A term above the last of history is Behind: the log has not
// heard of it. A term that history has passed over, or has trimmed away, is Discarded.
//
//     if (holding(status.history, status.applied, token.point(group)) == Holding::Holds)
//         serveAt(status.database);
Holding holding(const TermHistory &history, LogPoint last, LogPoint point);

// Whether the group whose history this is has dropped point for good.
bool isDiscarded(const TermHistory &history, LogPoint point);

// Last term of history, 0 if it is empty.
Term lastTerm(const TermHistory &history);

// Whichever of two histories of one group is the later one: the one with the higher last term; of
// two with the same last term the one that goes back further. A later history overrules an earlier
// one, as its primary was chosen among a majority that had given the earlier one up.
const TermHistory &laterHistory(const TermHistory &left, const TermHistory &right);

// Drops the oldest terms until at most count are left.
void trimHistory(TermHistory &history, std::size_t count);

// Whether the database is the primary of the term it is at. A primary that was fenced is not: its
// log has no entry of the term it was fenced at.
bool isPrimaryOfItsTerm(const DatabaseStatus &status);

} // namespace fescuespring
