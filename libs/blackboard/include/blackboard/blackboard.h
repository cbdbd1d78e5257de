#pragma once

#include "blackboard/section.h"
#include "membership/member.h"
#include "messages/plans.h"
#include "planlists/listtext.h"

#include <string>
#include <vector>

namespace fescuespring {

// Members of the data centre with state alive or leaving.
struct MembersView
{
    std::vector<Member> members;

    // False after a pause of this process until members have answered again.
    bool mayAct = false;
};

// Whether this VM serves callers, and if not, why.
struct ControlStatus
{
    // True if the VM has plan lists, is a member and is not leaving.
    bool serving = false;
    bool leaving = false;
    bool storeReachable = false;

    // Why the VM does not serve; empty if it does.
    std::string reason;

    ListErrors refusedLists;
};

// The control state of one daemon: controllers on the control thread read and write its sections;
// traffic threads read snapshots of them.
//
//     Blackboard board;
//     board.members.subscribe([&](const MembersView &view) {...});
//     board.lists.publish(lists);
struct Blackboard
{
    Section<MembersView> members;
    Section<PlanLists> lists;
    Section<ControlStatus> status;
};

} // namespace fescuespring
