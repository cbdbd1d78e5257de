#pragma once

#include "arguments.h"
#include "commands.h"
#include "net/http.h"

#include <chrono>
#include <string>

namespace fescuespring {

// Sends one request to a VM and blocks until the reply. Any HTTP status is a reply.
Result<HttpResponse> sendAndWait(const Endpoint &endpoint, const HttpRequest &request,
                                 std::chrono::milliseconds timeout);

// Adds the options of every command that calls a VM: --vm and --timeout-ms.
void addVmOptions(Arguments &arguments);

// The VM given by the options, and the timeout of calls to it.
struct VmTarget
{
    Endpoint endpoint = {};
    std::chrono::milliseconds timeout{0};
};

Result<VmTarget> vmTarget(const Arguments &arguments);

// Body of a reply with status 200, or the outcome that the command ends with.
struct VmReply
{
    std::string body = {};
    ToolOutcome outcome = ToolOutcome::Done;
};

// Sends request to the VM; on failure prints the error and a hint for the operator.
VmReply sendRequest(const VmTarget &vm, const HttpRequest &request, ToolStreams streams);

// Prints that the VM's reply could not be parsed.
ToolOutcome reportUnreadable(const VmTarget &vm, const Error &error, ToolStreams streams);

std::string toString(const Endpoint &endpoint);

} // namespace fescuespring
