#include "rpc/rpcclient.h"
#include "rpc/rpcserver.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace fescuespring;

namespace {

constexpr int callCount = 20'000;

// Parameters about as long as a version announcement between VMs.
constexpr const char *params =
        R"({"vm":"vm-andong-1","dataCentre":"andong","version":22000,"digest":3735928559})";

// Returns the microseconds per call of method through both codecs, without a network; negative if a
// call failed.
double microsecondsPerCall(RpcServer &server, const char *method)
{
    const RpcClient client([&](const std::string &request, const RpcCallback &callback) {
        callback(server.handle(request));
    });
    int done = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < callCount; ++i)
        client.call(method, params,
                    [&](const Result<std::string> &result) { done += result ? 1 : 0; });
    const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - begin;
    return done == callCount ? elapsed.count() / callCount : -1;
}

} // namespace

// Runs control calls from their parameters to their result and prints the cost of a call.
int main()
{
    RpcServer server;
    server.add("echo",
               [](std::string_view text) -> Result<std::string> { return std::string(text); });
    server.add("accept", [](std::string_view) -> Result<std::string> { return "{}"; });
    const double echo = microsecondsPerCall(server, "echo");
    const double accept = microsecondsPerCall(server, "accept");
    std::cout << "calls each: " << callCount << '\n'
              << "echo: " << echo << " us a call\n"
              << "accept: " << accept << " us a call\n";
    return echo > 0 && accept > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
