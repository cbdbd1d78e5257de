#pragma once

#include "groupview/groupview.h"

#include <optional>
#include <vector>

namespace fescuespring {

// Promotion that a naive proxy starts once it considers the primary lost: the database to promote
// at the term, and the databases that then follow it.
struct NaivePromotion
{
    DatabaseId database;
    Term term;
    std::vector<DatabaseId> followers = {};
};

// Baseline for comparison, without session consistency or safe promotion: every VM decides by its
// own view, reads are spread over the replicas in round-robin order, answers are forwarded
// unverified, and a primary without a report for the loss timeout is replaced by the reachable
// database with the most advanced log position. Uses no tokens, evidence, majority or store.
//
//     NaiveProxy proxy;
//     const auto database = proxy.routeRead(view);
class NaiveProxy
{
public:
    explicit NaiveProxy(Duration lossTimeout = std::chrono::milliseconds(600));

    // The next reachable replica in round-robin order; the primary if there is none.
    std::optional<DatabaseId> routeRead(const GroupView &view);

    // The reachable database that most recently reported to be primary.
    std::optional<PrimaryView> routeWrite(const GroupView &view) const;

    std::optional<NaivePromotion> promote(const GroupView &view, Instant now) const;

private:
    Duration m_lossTimeout;
    std::size_t m_nextRead = 0;
};

} // namespace fescuespring
