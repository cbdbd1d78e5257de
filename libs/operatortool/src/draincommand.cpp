#include "commands.h"

#include "vmcall.h"

#include <ostream>
#include <thread>

namespace fescuespring {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval{100};

// True once nothing listens at the VM's endpoint any more.
bool hasStopped(const VmTarget &vm)
{
    const Result<HttpResponse> response =
            exchange(vm.endpoint, {.target = "/v1/status"}, vm.timeout);
    return !response && response.error().code == ErrorCode::Unreachable;
}

ToolOutcome waitUntilStopped(const VmTarget &vm, std::chrono::milliseconds patience,
                             ToolStreams streams)
{
    const Clock::time_point end = Clock::now() + patience;
    while (!hasStopped(vm)) {
        if (Clock::now() >= end) {
            streams.error << "fescuectl: " << toString(vm.endpoint)
                          << " is leaving but has not stopped yet; its stopDeadlineMs bounds how "
                             "long it takes\n";
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
    Arguments arguments("drain", "Starts the planned stop of a VM: it takes no new work, hands its "
                                 "groups over,\nends the requests in flight and stops.");
    arguments.flag("wait", "returns once the VM has stopped");
    arguments.option("wait-ms", "how long --wait waits", "30000");
    addVmOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrExplain(arguments, words, streams, outcome))
        return outcome;
    const Result<VmTarget> vm = vmTarget(arguments);
    if (!vm)
        return usageFault(vm.error(), streams);
    const Result<std::chrono::milliseconds> patience = arguments.milliseconds("wait-ms");
    if (!patience)
        return usageFault(patience.error(), streams);

    const VmAnswer answer =
            askVm(vm.value(), {.method = "POST", .target = "/v1/drain", .body = "{}"}, streams);
    if (answer.outcome != ToolOutcome::Done)
        return answer.outcome;
    if (arguments.has("json"))
        streams.out << answer.body << '\n';
    else
        streams.out << toString(vm.value().endpoint) << " is leaving\n";
    return arguments.has("wait") ? waitUntilStopped(vm.value(), patience.value(), streams)
                                 : ToolOutcome::Done;
}

} // namespace fescuespring
