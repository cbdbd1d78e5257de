#pragma once

#include "base/result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fescuespring {

// Implements a control call: takes its parameters as JSON text, an object or null, and returns its
// result as JSON text. An Error is sent to the caller with its code, message, field and line.
using RpcMethod = std::function<Result<std::string>(std::string_view params)>;

// The server side of control calls between VMs, JSON-RPC 2.0 by libjsonrpccpp. Independent of any
// transport: converts a request body to a response body.
//
//     RpcServer server;
//     server.add("lists.pull", [&](std::string_view params) { return pull(params); });
//     respond(server.handle(body));
//
// Not thread-safe. No function throws, whatever the text; a method must not throw either.
class RpcServer
{
public:
    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    // Registers a method; a name that is already registered keeps its first method.
    void add(const std::string &name, RpcMethod method);

    // The response to the JSON-RPC request in text: a result, or an error for text that is not a
    // request and for unknown methods. Empty for a notification, which has no response.
    std::string handle(std::string_view text);

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
