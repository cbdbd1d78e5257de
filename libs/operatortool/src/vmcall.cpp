#include "vmcall.h"

#include "codec/statuscodec.h"
#include "net/eventloop.h"
#include "net/httpclient.h"

#include <ostream>

namespace fescuespring {

namespace {

constexpr int statusOk = 200;
constexpr const char *defaultTimeout = "5000";

void printUnreachable(const VmTarget &vm, const Error &error, ToolStreams streams)
{
    streams.error << "fescuectl: no reply from " << toString(vm.endpoint) << ": " << describe(error)
                  << '\n'
                  << "Check that fescuespringd runs there and that --vm is its callerEndpoint, or "
                     "raise --timeout-ms.\n";
}

// Whether a request without a reply may have taken effect.
bool mayHaveChanged(const HttpRequest &request, ErrorCode code)
{
    return request.method != "GET" && code != ErrorCode::Unreachable
           && code != ErrorCode::Unavailable;
}

} // namespace

Result<HttpResponse> sendAndWait(const Endpoint &endpoint, const HttpRequest &request,
                                 std::chrono::milliseconds timeout)
{
    EventLoop loop;
    HttpConnection connection(
            loop,
            {.endpoint = endpoint, .connectTimeout = timeout, .maxBodyBytes = operatorAnswerBytes});
    Result<HttpResponse> outcome = Error{};
    connection.send(request, timeout, [&](const Result<HttpResponse> &response) {
        outcome = response;
        loop.stop();
    });
    loop.run();
    return outcome;
}

void addVmOptions(Arguments &arguments)
{
    arguments.option("vm", "IP:PORT of the VM's callerEndpoint");
    arguments.option("timeout-ms", "timeout of calls to the VM", defaultTimeout);
}

Result<VmTarget> vmTarget(const Arguments &arguments)
{
    Result<Endpoint> endpoint = arguments.endpoint("vm");
    if (!endpoint)
        return endpoint.error();
    const Result<std::chrono::milliseconds> timeout = arguments.milliseconds("timeout-ms");
    if (!timeout)
        return timeout.error();
    return VmTarget{.endpoint = endpoint.value(), .timeout = timeout.value()};
}

VmReply sendRequest(const VmTarget &vm, const HttpRequest &request, ToolStreams streams)
{
    const Result<HttpResponse> response = sendAndWait(vm.endpoint, request, vm.timeout);
    if (!response) {
        printUnreachable(vm, response.error(), streams);
        return {.outcome = mayHaveChanged(request, response.error().code)
                                   ? ToolOutcome::Unknown
                                   : ToolOutcome::Unreachable};
    }
    if (response.value().status != statusOk) {
        streams.error << "fescuectl: " << toString(vm.endpoint)
                      << " refused the request with status " << response.value().status << ": "
                      << response.value().body << '\n';
        return {.outcome = ToolOutcome::Refused};
    }
    return {.body = response.value().body};
}

ToolOutcome reportUnreadable(const VmTarget &vm, const Error &error, ToolStreams streams)
{
    streams.error
            << "fescuectl: the reply of " << toString(vm.endpoint)
            << " cannot be read: " << describe(error) << '\n'
            << "Check that --vm is a callerEndpoint, and that fescuectl is not older than the "
               "VM.\n";
    return ToolOutcome::Unreachable;
}

std::string toString(const Endpoint &endpoint)
{
    const bool isVersion6 = endpoint.ip.find(':') != std::string::npos;
    const std::string ip = isVersion6 ? '[' + endpoint.ip + ']' : endpoint.ip;
    return ip + ':' + std::to_string(endpoint.port);
}

} // namespace fescuespring
