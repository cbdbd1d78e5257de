#pragma once

#include "leadership/succession.h"

#include <map>

namespace fescuespring::detail {

// The replicas that the changes of this VM have paused. A pause ends with a promotion; but one that
// was sent after the promotion had taken effect, as the holder had not observed that, would last
// until the replica restarts. So once a group has a primary again, each replica that was paused is
// asked, and resumed if it still is.
//
//     paused.add(group, database, term);   // with each pause that is sent
//     paused.resume(group);                // in each tick, while the group needs no change
//
// Callers hold the promotion lock, and no promotion of the group may be pending.
class PausedReplicas
{
public:
    PausedReplicas(const SuccessionOptions &options, const SuccessionPorts &ports);

    // A pause for this term is sent.
    void add(const GroupId &group, const DatabaseId &database, Term term);

    // Asks the replicas of the group that are listed. Returns whether one of them may be paused.
    bool resume(const GroupId &group);

private:
    struct Paused
    {
        Term term;
        Instant askedAt;
    };

    void answered(const GroupId &group, const DatabaseId &database, const UpstreamStatus &status);

    const SuccessionOptions &m_options;
    const SuccessionPorts &m_ports;
    std::map<GroupId, std::map<DatabaseId, Paused>> m_groups;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace fescuespring::detail
