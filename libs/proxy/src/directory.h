#pragma once

#include "base/types.h"
#include "blackboard/blackboard.h"
#include "blackboard/section.h"
#include "sliceowner/sliceowner.h"

#include <map>
#include <set>
#include <vector>

namespace fescuespring {

// An entry VM and where its peers reach it.
struct PeerVm
{
    VmId vm;
    Endpoint peers;

    bool operator==(const PeerVm &) const = default;
};

// Where everything is, as settings, membership and the platform's list have it.
struct Directory
{
    // Databases of each group, of every data centre.
    std::map<GroupId, std::vector<SliceDatabase>> groups;

    // Entry VMs to give work to, by data centre, this VM's included.
    std::map<DataCentreId, std::vector<PeerVm>> vms;

    // VMs of this data centre that membership holds for dead; exchanges with them are ended.
    std::set<VmId> goneVms;

    // False while this VM doubts that the others count it as a member.
    bool mayAct = false;

    bool operator==(const Directory &) const = default;
};

// Written on the control thread, read on the traffic threads.
struct SharedState
{
    Blackboard board;
    Section<Directory> directory;
};

} // namespace fescuespring
