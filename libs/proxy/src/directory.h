#pragma once

#include "base/types.h"
#include "blackboard/blackboard.h"
#include "blackboard/section.h"
#include "sliceowner/sliceowner.h"

#include <map>
#include <set>
#include <vector>

namespace fescuespring {

// An entry VM and the endpoint where peers reach it.
struct PeerVm
{
    VmId vm;
    Endpoint peers;

    bool operator==(const PeerVm &) const = default;
};

// Databases and entry VMs, combined from the settings, the membership and the platform's list.
struct Directory
{
    // Databases of each group, in all data centres.
    std::map<GroupId, std::vector<SliceDatabase>> groups;

    // Entry VMs that accept requests, by data centre, including this VM.
    std::map<DataCentreId, std::vector<PeerVm>> vms;

    // VMs of this data centre that the membership has declared dead. Pending requests to them fail
    // with ConnectionLost.
    std::set<VmId> deadVms;

    // False while this VM cannot be sure that the other VMs consider it a member.
    bool mayAct = false;

    bool operator==(const Directory &) const = default;
};

// Written by the control thread and read by the traffic threads.
struct SharedState
{
    Blackboard board;
    Section<Directory> directory;
};

} // namespace fescuespring
