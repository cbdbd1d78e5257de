#pragma once

#include "base/types.h"
#include "messages/request.h"
#include "messages/upstream.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// Status that a VM reports to operators: its own view at one moment.

// A member of the VM's data centre.
struct MemberStatus
{
    VmId vm = {};

    // Name of the state: alive, leaving, dead or left.
    std::string state = {};

    // Did not answer recently, but still counts as a member.
    bool suspected = false;
    Endpoint peers = {};

    // Version of its plan lists in force.
    ObjectVersion lists = {};
};

// A database in the view of the owner of its group's slice.
struct DatabaseLine
{
    DatabaseId database = {};
    DataCentreId dataCentre = {};
    Role role = Role::Replica;
    bool reachable = false;
    Term term = {};
    LogPosition applied = {};

    // Number of entries not yet visible to its reads, and age of the data that is visible.
    std::uint64_t lag = 0;
    std::chrono::milliseconds age{0};

    std::uint32_t connections = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

// A group; databases are listed if the VM owns the group's slice of its data centre.
struct GroupStatus
{
    GroupId group = {};
    VmId owner = {};
    Term term = {};

    // Empty if no primary is known.
    DatabaseId primary = {};
    std::vector<DatabaseLine> databases = {};
};

// The answer to GET /v1/status.
struct VmStatus
{
    VmId vm = {};
    DataCentreId dataCentre = {};
    bool serving = false;
    bool leaving = false;
    bool storeReachable = false;

    // Why the VM does not serve; empty if it does.
    std::string reason = {};

    // Version of the plan lists in force, and one line for each error in newer lists.
    ObjectVersion lists = {};
    std::vector<std::string> refusedLists = {};

    std::uint32_t callerConnections = 0;
    std::vector<MemberStatus> members = {};
    std::vector<GroupStatus> groups = {};
};

// The answer to GET /v1/route: where a request of this kind would be routed now. Nothing is run or
// queued.
struct RouteAnswer
{
    GroupId group = {};

    // Owner of the slice, which makes the decision.
    VmId owner = {};

    // Name of the decision: serve, wait, learn or refuse.
    std::string action = {};
    DatabaseId database = {};
    bool byReplica = false;
    bool needsConfirmation = false;
    Reason reason = Reason::None;

    // One line for each database: why it was chosen or not.
    std::vector<std::string> explanation = {};
};

} // namespace fescuespring
