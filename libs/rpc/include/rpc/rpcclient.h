#pragma once

#include "base/result.h"

#include <functional>
#include <string>
#include <string_view>

namespace fescuespring {

// The JSON-RPC 2.0 request of one call; Malformed if params is not a JSON object.
Result<std::string> encodeRpcRequest(std::string_view method, std::string_view params);

// The result in a JSON-RPC response, as JSON text. An Error of the method is returned unchanged;
// NotFound with the field "method" if the server has no such method, Malformed for text that is not
// a response.
Result<std::string> decodeRpcResponse(std::string_view text);

// Called once with the outcome of a call.
using RpcCallback = std::function<void(const Result<std::string> &)>;

// Sends a request body to the server and calls back with the response body or the transport error,
// synchronously or later.
using RpcTransport = std::function<void(std::string request, RpcCallback callback)>;

// The client side of control calls between VMs, over a transport such as an HTTP client.
//
//     RpcClient client([&](std::string request, RpcCallback callback) {
//         http.send({.method = "POST", .target = "/peer/v1/rpc", .body = std::move(request)}, ...);
//     });
//     client.call("lists.pull", R"({"version":7})", [](const Result<std::string> &result) { ... });
//
// Calls may overlap; the transport matches responses to requests. The client may be destroyed while
// calls are in progress.
class RpcClient
{
public:
    explicit RpcClient(RpcTransport transport);

    void call(std::string_view method, std::string_view params, RpcCallback callback) const;

private:
    RpcTransport m_transport;
};

} // namespace fescuespring
