#pragma once

#include "groupview/groupview.h"

#include <optional>
#include <vector>

namespace fescuespring {

// What a naive proxy does when it takes the primary for lost: raises this database to term, and
// tells these others to follow it.
struct NaivePromotion
{
    DatabaseId database;
    Term term;
    std::vector<DatabaseId> followers = {};
};

// The decisions of a proxy without any of the project's ideas, to compare with: every VM trusts its
// own view, reads go round the replicas in turn, answers are passed on as they come, and a primary
// that this VM has not heard of for a while is replaced by the longest log that it can reach. No
// tokens, no evidence, no majority, no store.
//
//     NaiveProxy proxy;
//     const auto database = proxy.routeRead(view);
class NaiveProxy
{
public:
    explicit NaiveProxy(Duration lostAfter = std::chrono::milliseconds(600));

    // The next replica in turn that answers probes; the primary if there is none.
    std::optional<DatabaseId> routeRead(const GroupView &view);

    // The database that last said to be primary, of those that answer.
    std::optional<PrimaryView> routeWrite(const GroupView &view) const;

    std::optional<NaivePromotion> promote(const GroupView &view, Instant now) const;

private:
    Duration m_lostAfter;
    std::size_t m_turn = 0;
};

} // namespace fescuespring
