#include "commands.h"

#include "codec/statuscodec.h"
#include "vmcall.h"

#include <ostream>

namespace fescuespring {

namespace {

Result<std::string> routeTarget(const Arguments &arguments)
{
    if (arguments.value("group").empty())
        return Error{.message = "is missing; expected the group of the request",
                     .field = "--group"};
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

std::string describeDecision(const RouteAnswer &answer)
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
        << describeDecision(answer);
    if (answer.reason != Reason::None)
        out << ", reason " << toString(answer.reason);
    out << '\n';
    for (const std::string &line : answer.explanation)
        out << "  " << line << '\n';
}

} // namespace

ToolOutcome runRoute(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("route",
                        "Shows how a request would be routed now, and why. Nothing is executed.");
    arguments.option("group", "group of the request");
    arguments.option("access", "read or write", "read");
    arguments.option("token", "session token of the request");
    arguments.option("maximum-age-ms", "maximum age of the data that the read accepts");
    addVmOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    const Result<std::string> target = routeTarget(arguments);
    if (!target)
        return reportUsageError(target.error(), streams);
    const Result<VmTarget> vm = vmTarget(arguments);
    if (!vm)
        return reportUsageError(vm.error(), streams);

    const VmReply reply = sendRequest(vm.value(), {.target = target.value()}, streams);
    if (reply.outcome != ToolOutcome::Done)
        return reply.outcome;
    const Result<RouteAnswer> route = decodeRouteAnswer(reply.body);
    if (!route)
        return reportUnreadable(vm.value(), route.error(), streams);
    if (arguments.has("json"))
        streams.out << reply.body << '\n';
    else
        printRoute(route.value(), streams.out);
    return ToolOutcome::Done;
}

} // namespace fescuespring
