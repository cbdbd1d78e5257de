#include "commands.h"

#include "vmcall.h"

#include <ostream>
#include <thread>

namespace fescuespring {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval{100};

// True if no connection to the VM's endpoint can be made.
bool hasStopped(const VmTarget &vm)
{
    const Result<HttpResponse> response =
            sendAndWait(vm.endpoint, {.target = "/v1/status"}, vm.timeout);
    return !response && response.error().code == ErrorCode::Unreachable;
}

ToolOutcome waitUntilStopped(const VmTarget &vm, std::chrono::milliseconds timeout,
                             ToolStreams streams)
{
    const Clock::time_point end = Clock::now() + timeout;
    while (!hasStopped(vm)) {
        if (Clock::now() >= end) {
            streams.error << "fescuectl: " << toString(vm.endpoint)
                          << " is leaving but has not stopped yet; its stopDeadlineMs limits the "
                             "time until it stops\n";
            return ToolOutcome::Unknown;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    streams.error << toString(vm.endpoint) << " has stopped\n";
    return ToolOutcome::Done;
}

} // namespace

ToolOutcome runDrain(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("drain",
                        "Starts the planned stop of a VM: it accepts no new work, hands over "
                        "its groups,\nfinishes the requests in flight and stops.");
    arguments.flag("wait", "returns once the VM has stopped");
    arguments.option("wait-ms", "timeout of --wait", "30000");
    addVmOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    const Result<VmTarget> vm = vmTarget(arguments);
    if (!vm)
        return reportUsageError(vm.error(), streams);
    const Result<std::chrono::milliseconds> timeout = arguments.milliseconds("wait-ms");
    if (!timeout)
        return reportUsageError(timeout.error(), streams);

    const VmReply reply = sendRequest(
            vm.value(), {.method = "POST", .target = "/v1/drain", .body = "{}"}, streams);
    if (reply.outcome != ToolOutcome::Done)
        return reply.outcome;
    if (arguments.has("json"))
        streams.out << reply.body << '\n';
    else
        streams.out << toString(vm.value().endpoint) << " is leaving\n";
    return arguments.has("wait") ? waitUntilStopped(vm.value(), timeout.value(), streams)
                                 : ToolOutcome::Done;
}

} // namespace fescuespring
