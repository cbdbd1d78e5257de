#pragma once

#include "arguments.h"
#include "commands.h"
#include "net/http.h"

#include <chrono>
#include <string>

namespace fescuespring {

// One exchange with a VM, which blocks. Any status is an answer.
Result<HttpResponse> exchange(const Endpoint &endpoint, const HttpRequest &request,
                              std::chrono::milliseconds timeout);

// The options of every command that asks a VM: --vm and --timeout-ms.
void addVmOptions(Arguments &arguments);

// The VM that the options name, and how long to wait for it.
struct VmTarget
{
    Endpoint endpoint = {};
    std::chrono::milliseconds timeout{0};
};

Result<VmTarget> vmTarget(const Arguments &arguments);

// What a VM answered with status 200, or how the command ends.
struct VmAnswer
{
    std::string body = {};
    ToolOutcome outcome = ToolOutcome::Done;
};

// Sends request to the VM; prints what went wrong and what to do about it.
VmAnswer askVm(const VmTarget &vm, const HttpRequest &request, ToolStreams streams);

// Prints that the answer to a question could not be read.
ToolOutcome unreadable(const VmTarget &vm, const Error &error, ToolStreams streams);

std::string toString(const Endpoint &endpoint);

} // namespace fescuespring
