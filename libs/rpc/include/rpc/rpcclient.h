#pragma once

#include "base/result.h"

#include <functional>
#include <string>
#include <string_view>

namespace fescuespring {

// The JSON-RPC 2.0 text of one call; Malformed where params is no JSON object.
Result<std::string> encodeRpcRequest(std::string_view method, std::string_view params);

// The result in a JSON-RPC answer, as JSON text. An Error of the method comes back as it was
// returned there; NotFound with the field "method" where the other side does not know the method,
// Malformed for text that is no answer.
Result<std::string> decodeRpcResponse(std::string_view text);

// Called once with the outcome of a call.
using RpcCallback = std::function<void(const Result<std::string> &)>;

// Takes the body of a request to the other side and calls back with the body of the answer, or with
// the error of the way there, at once or later.
using RpcCarrier = std::function<void(std::string request, RpcCallback callback)>;

// The calling side of control calls between VMs, over a carrier such as an HTTP client.
//
//     RpcClient client([&](std::string request, RpcCallback callback) {
//         http.send({.method = "POST", .target = "/peer/v1/rpc", .body = std::move(request)}, ...);
//     });
//     client.call("lists.pull", R"({"version":7})", [](const Result<std::string> &result) { ... });
//
// Calls may overlap; the carrier pairs answers and requests. It may go while calls are under way.
class RpcClient
{
public:
    explicit RpcClient(RpcCarrier carrier);

    void call(std::string_view method, std::string_view params, RpcCallback callback) const;

private:
    RpcCarrier m_carrier;
};

} // namespace fescuespring
