#include "commands.h"

#include "codec/statuscodec.h"
#include "vmcall.h"

#include <ostream>

namespace fescuespring {

namespace {

Result<std::string> routeTarget(const Arguments &arguments)
{
    if (arguments.value("group").empty())
        return Error{.message = "is missing; name the group of the request", .field = "--group"};
    if (!accessFromString(arguments.value("access")))
        return Error{.message = "must be read or write", .field = "--access"};
    std::string target = "/v1/route?group=" + percentEncode(arguments.value("group"))
                         + "&access=" + arguments.value("access");
    if (arguments.has("token"))
        target += "&token=" + percentEncode(arguments.value("token"));
    if (!arguments.has("maximum-age-ms"))
        return target;
    const Result<std::chrono::milliseconds> age = arguments.milliseconds("maximum-age-ms");
    if (!age)
        return age.error();
    return target + "&maximumAgeMs=" + std::to_string(age.value().count());
}

std::string decisionOf(const RouteAnswer &answer)
{
    if (answer.action != "serve")
        return answer.action;
    std::string text = "served by " + answer.database.value();
    text += answer.byReplica ? ", a replica" : ", the primary";
    if (answer.needsConfirmation)
        text += ", once its term is confirmed";
    return text;
}

void printRoute(const RouteAnswer &answer, std::ostream &out)
{
    out << "group " << answer.group.value() << ", owner "
        << (answer.owner.isEmpty() ? "unknown" : answer.owner.value()) << ": "
        << decisionOf(answer);
    if (answer.reason != Reason::None)
        out << ", reason " << toString(answer.reason);
    out << '\n';
    for (const std::string &line : answer.explanation)
        out << "  " << line << '\n';
}

} // namespace

ToolOutcome runRoute(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("route", "Shows where a request would go now, and why. Nothing is run.");
    arguments.option("group", "group of the request");
    arguments.option("access", "read or write", "read");
    arguments.option("token", "session token that the request would bring");
    arguments.option("maximum-age-ms", "age that the read would accept");
    addVmOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrExplain(arguments, words, streams, outcome))
        return outcome;
    const Result<std::string> target = routeTarget(arguments);
    if (!target)
        return usageFault(target.error(), streams);
    const Result<VmTarget> vm = vmTarget(arguments);
    if (!vm)
        return usageFault(vm.error(), streams);

    const VmAnswer answer = askVm(vm.value(), {.target = target.value()}, streams);
    if (answer.outcome != ToolOutcome::Done)
        return answer.outcome;
    const Result<RouteAnswer> route = decodeRouteAnswer(answer.body);
    if (!route)
        return unreadable(vm.value(), route.error(), streams);
    if (arguments.has("json"))
        streams.out << answer.body << '\n';
    else
        printRoute(route.value(), streams.out);
    return ToolOutcome::Done;
}

} // namespace fescuespring
