#pragma once

#include "grouptask.h"

#include <optional>
#include <vector>

namespace fescuespring::detail {

// Finds out which database leads a group whose record was lost or brought back by a restore of the
// store, or which never had a record and whose primary no longer reports itself, and records it.
// Starts a change of primary if none leads.
//
// A holder of the lock in an earlier epoch requests a promotion only under its lease and after a
// majority of the group has paused. So once all leases of that epoch are over, a majority that is
// not paused, and has not restarted since, shows that no such promotion is to take effect.
class PrimaryConfirmation : public GroupTask<PrimaryConfirmation>
{
public:
    PrimaryConfirmation(Succession &owner, GroupId group);

    void start();

private:
    friend class GroupTask<PrimaryConfirmation>;

    struct Answer
    {
        SuccessionCandidate candidate;
        std::optional<UpstreamStatus> status;
    };
    using Answers = std::vector<Answer>;

    const char *reasonToEnd() const;
    void queryDatabases();
    void evaluate(const Answers &answers);
    static const Answer *leader(const Answers &answers);
    bool isConfirmed(const Answers &answers, Term term) const;
    bool receives(const Answer &answer, Term term) const;
    bool isQuiet(const Answers &answers, Term term) const;
    bool resumePaused(const Answers &answers, Term term);
    bool isLost(const Answers &answers) const;
    void recordPrimary(const DatabaseId &database, const UpstreamStatus &status);
    void end(const char *outcome);

    // Position of the primary when it first answered.
    std::optional<LogPoint> m_leaderPosition;
};

} // namespace fescuespring::detail
