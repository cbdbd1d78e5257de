#pragma once

#include "base/result.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fescuespring {

// What a control call does: takes its parameters as JSON text, an object or null, and gives its
// result as JSON text. An Error reaches the caller with its code, message, field and line.
using RpcMethod = std::function<Result<std::string>(std::string_view params)>;

// The called side of control calls between VMs, JSON-RPC 2.0 by libjsonrpccpp. It knows no socket:
// the body of a request goes in, the body of the answer comes out.
//
//     RpcServer server;
//     server.add("lists.pull", [&](std::string_view params) { return pull(params); });
//     respond(server.handle(body));
//
// One thread at a time. No function throws, whatever the text; a method must not throw either.
class RpcServer
{
public:
    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    // Makes name callable; a name that is there already keeps its first method.
    void add(const std::string &name, RpcMethod method);

    // The answer to the JSON-RPC request in text: a result, or an error for text that is no request
    // and for unknown methods. Empty for a notification, to which nothing is answered.
    std::string handle(std::string_view text);

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
