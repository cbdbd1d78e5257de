#include "rpc/rpcclient.h"

#include "clientlibrary.h"
#include "jsoncpptext.h"
#include "rpcerror.h"

namespace fescuespring {

namespace {

Error malformed(std::string message, std::string field = {})
{
    return Error{
            .code = ErrorCode::Malformed, .message = std::move(message), .field = std::move(field)};
}

bool parse(std::string_view text, Json::Value &value)
{
    return detail::parseJson(text.data(), text.data() + text.size(), value) && value.isObject();
}

} // namespace

Result<std::string> encodeRpcRequest(std::string_view method, std::string_view params)
{
    Json::Value value;
    if (!parse(params, value))
        return malformed("must be a JSON object", "params");
    return detail::buildRequest(std::string(method), value);
}

Result<std::string> decodeRpcResponse(std::string_view text)
{
    Json::Value reply;
    if (!parse(text, reply) || reply["jsonrpc"] != "2.0")
        return malformed("not a JSON-RPC response");
    if (reply["error"].isObject())
        return detail::errorFromReply(reply["error"]);
    if (!reply.isMember("result") || !reply["error"].isNull())
        return malformed("JSON-RPC response without a result");
    return detail::writeJson(reply["result"]);
}

RpcClient::RpcClient(RpcTransport transport)
    : m_transport(std::move(transport))
{}

void RpcClient::call(std::string_view method, std::string_view params, RpcCallback callback) const
{
    Result<std::string> request = encodeRpcRequest(method, params);
    if (!request) {
        callback(request.error());
        return;
    }
    m_transport(std::move(request).value(),
                [callback = std::move(callback)](const Result<std::string> &response) {
                    callback(response ? decodeRpcResponse(response.value()) : response);
                });
}

} // namespace fescuespring
