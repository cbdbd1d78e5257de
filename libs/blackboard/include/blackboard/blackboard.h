#pragma once

#include "blackboard/section.h"
#include "membership/member.h"
#include "messages/plans.h"
#include "planlists/listtext.h"

#include <string>
#include <vector>

namespace fescuespring {

// Members of the data centre that are alive or leaving.
struct MembersView
{
    std::vector<Member> members;

    // False after a pause, until members have answered again.
    bool mayAct = false;
};

// What keeps this VM from serving, and how its control state stands.
struct ControlStatus
{
    // Serves callers: has lists, is a member, does not leave.
    bool serving = false;
    bool leaving = false;
    bool storeReachable = false;

    // Why it does not serve; empty where it does.
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
