#pragma once

#include "groupview/groupview.h"

namespace fescuespring {

enum class WriteAction {
    // Send to database under term.
    Serve,

    // Answer NotRun with reason and retryAfter.
    Refuse,
};

// Where a write or a transaction goes.
struct WriteDecision
{
    WriteAction action = WriteAction::Refuse;
    DatabaseId database = {};
    Term term = {};
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0};
};

// Decides which database takes a write: the primary of the highest term known, while it can be
// reached. Writes are held back by the caller while a planned change of primary asks for it; a
// write that waits is routed again afterwards. Seen is the point of the session's token: where the
// group has discarded it the write is refused, HistoryDiscarded, as its answer would raise the
// token past that point and the session would never be told.
WriteDecision routeWrite(const GroupView &view, std::chrono::milliseconds retryAfter,
                         LogPoint seen = {});

} // namespace fescuespring
