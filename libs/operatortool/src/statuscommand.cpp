#include "commands.h"

#include "codec/statuscodec.h"
#include "table.h"
#include "vmcall.h"

#include <ostream>

namespace fescuespring {

namespace {

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

std::string serviceState(const VmStatus &status)
{
    if (status.leaving)
        return "leaving";
    return status.serving ? "serving" : "not serving: " + orDash(status.reason);
}

void printVm(const VmStatus &status, std::ostream &out)
{
    Table table({"VM", "DATA CENTRE", "PLAN LISTS", "STORE", "CALLERS", "STATE"});
    table.add({status.vm.value(), status.dataCentre.value(),
               "version " + std::to_string(status.lists.value()),
               status.storeReachable ? "reachable" : "not reachable",
               std::to_string(status.callerConnections), serviceState(status)});
    table.print(out);
    for (const std::string &line : status.refusedLists)
        out << "refused lists: " << line << '\n';
}

void printMembers(const VmStatus &status, std::ostream &out)
{
    Table table({"MEMBER", "STATE", "SUSPECTED", "PEER ENDPOINT", "PLAN LISTS"});
    for (const MemberStatus &member : status.members) {
        table.add({member.vm.value(), orDash(member.state), yesOrNo(member.suspected),
                   member.peers.ip.empty() ? "-" : toString(member.peers),
                   std::to_string(member.lists.value())});
    }
    out << '\n';
    table.print(out);
}

void printGroups(const VmStatus &status, std::ostream &out)
{
    Table table({"GROUP", "OWNER", "TERM", "PRIMARY"});
    for (const GroupStatus &group : status.groups) {
        table.add({group.group.value(), orDash(group.owner.value()),
                   std::to_string(group.term.value()), orDash(group.primary.value())});
    }
    out << '\n';
    table.print(out);
}

std::vector<std::string> rowOf(const GroupStatus &group, const DatabaseLine &line)
{
    return {group.group.value(),
            line.database.value(),
            line.dataCentre.value(),
            toString(line.role),
            yesOrNo(line.reachable),
            std::to_string(line.term.value()),
            std::to_string(line.applied.value()),
            std::to_string(line.lag),
            std::to_string(line.age.count()) + " ms",
            std::to_string(line.connections),
            std::to_string(line.running),
            std::to_string(line.waiting)};
}

void printDatabases(const VmStatus &status, std::ostream &out)
{
    Table table({"GROUP", "DATABASE", "DATA CENTRE", "ROLE", "REACHABLE", "TERM", "APPLIED", "LAG",
                 "AGE", "CONNECTIONS", "RUNNING", "WAITING"});
    for (const GroupStatus &group : status.groups) {
        for (const DatabaseLine &line : group.databases)
            table.add(rowOf(group, line));
    }
    out << '\n';
    table.print(out);
}

void printStatus(const VmStatus &status, std::ostream &out)
{
    printVm(status, out);
    printMembers(status, out);
    printGroups(status, out);
    printDatabases(status, out);
}

} // namespace

ToolOutcome runStatus(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("status",
                        "Shows members, owners, groups and databases as a VM reports them.\n"
                        "A VM reports the databases of the groups that it owns.");
    addVmOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    const Result<VmTarget> vm = vmTarget(arguments);
    if (!vm)
        return reportUsageError(vm.error(), streams);

    const VmReply reply = sendRequest(vm.value(), {.target = "/v1/status"}, streams);
    if (reply.outcome != ToolOutcome::Done)
        return reply.outcome;
    const Result<VmStatus> status = decodeVmStatus(reply.body);
    if (!status)
        return reportUnreadable(vm.value(), status.error(), streams);
    if (arguments.has("json"))
        streams.out << reply.body << '\n';
    else
        printStatus(status.value(), streams.out);
    return ToolOutcome::Done;
}

} // namespace fescuespring
