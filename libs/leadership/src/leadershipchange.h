#pragma once

#include "leadership/succession.h"

#include <set>

namespace fescuespring::detail {

// One change of one group's primary, from the announcement to the record of the new one.
class LeadershipChange : public std::enable_shared_from_this<LeadershipChange>
{
public:
    LeadershipChange(Succession &owner, GroupId group, bool isPlanned);

    void start();

    // The owner is gone or has lost the duty; what has been sent ends without effect here.
    void abandon();

private:
    struct Answer
    {
        DatabaseId database;
        std::optional<UpstreamStatus> status;
    };

    Instant now() const;
    void after(Duration delay, void (LeadershipChange::*step)());
    bool goesOn();

    void learnTerm();
    void termLearnt();
    void announce();
    void announced();
    void orderWhenLapsed();
    void stopWhenLapsed();
    bool isLapsed() const;
    bool haveAllRead() const;
    void stopOldPrimary();
    void askAll();
    void answered(const std::shared_ptr<std::vector<Answer>> &answers, std::size_t asked,
                  Answer answer);
    void choose(const std::vector<Answer> &answers);
    const Answer *furthest(const std::vector<Answer> &answers) const;
    const Answer *returnedPrimary(const std::vector<Answer> &answers) const;
    void keep(const DatabaseId &database, const std::vector<Answer> &answers);
    bool isDraining(const DatabaseId &database) const;
    bool isMajorityHeld(const std::vector<Answer> &answers) const;
    void order(const DatabaseId &database);
    void ordered(PromotionOutcome end);
    void verify();
    void recordNew(const DatabaseId &database, Term term);
    void end(const char *outcome);

    Succession *m_owner;
    GroupId m_group;
    bool m_isPlanned;
    Instant m_startedAt;
    Instant m_announcedAt;

    // Who may hold a lease without having read of the change; nothing while that is not known.
    std::optional<std::vector<VmIncarnation>> m_leaseHolders;
    LeadershipRecord m_record;
    Term m_oldTerm;
    bool m_isTermLearnt = false;
    std::optional<LogPoint> m_oldPosition;
    Instant m_catchUpUntil;
    bool m_isCaughtUp = false;

    // The old primary has just not answered; the next round goes on without it.
    bool m_isOldSilent = false;

    // The next round only asks, as the replicas were told to receive again.
    bool m_isKeeping = false;
    DatabaseId m_chosen;
    Instant m_orderedAt;

    // What the chosen database last said of itself, for the log.
    std::string m_lastSeen;
    std::set<DatabaseId> m_refused;
    bool m_isRunning = true;
};

} // namespace fescuespring::detail
