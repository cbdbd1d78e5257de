#pragma once

#include "groupview/groupview.h"

namespace fescuespring {

enum class WriteAction {
    // Send the write to the database under term.
    Serve,

    // Reply NotRun with reason and retryAfter.
    Refuse,
};

// How to handle a write or a transaction.
struct WriteDecision
{
    WriteAction action = WriteAction::Refuse;
    DatabaseId database = {};
    Term term = {};
    Reason reason = Reason::None;
    std::chrono::milliseconds retryAfter{0};
};

// Decides which database takes a write: the primary of the highest known term, while it is
// reachable. The calling code holds writes during a planned change of primary and routes them again
// afterwards. sessionPoint is the log point of the session token. If the group has discarded it,
// the write is refused with HistoryDiscarded: the answer would advance the token past that point,
// and the session would never be notified of the loss.
WriteDecision routeWrite(const GroupView &view, std::chrono::milliseconds retryAfter,
                         LogPoint sessionPoint = {});

} // namespace fescuespring
