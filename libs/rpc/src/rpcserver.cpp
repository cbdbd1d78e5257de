#include "rpc/rpcserver.h"

#include "jsoncpptext.h"
#include "rpcerror.h"

#include <exception>
#include <map>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace fescuespring {

namespace {

constexpr const char *parseErrorResponse =
        R"({"error":{"code":-32700,"message":"no JSON-RPC request"},"id":null,"jsonrpc":"2.0"})";

Error internal(std::string message)
{
    return Error{.code = ErrorCode::Internal, .message = std::move(message)};
}

// Throws the exception that libjsonrpccpp turns into a JSON-RPC error.
[[noreturn]] void throwError(const Error &error)
{
    throw jsonrpc::JsonRpcException(detail::methodErrorCode, error.message,
                                    detail::errorData(error));
}

} // namespace

struct RpcServer::Data final : jsonrpc::IProcedureInvokationHandler
{
    std::map<std::string, RpcMethod> methods;
    const std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
            jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                  *this)};

    // NOLINTNEXTLINE(readability-identifier-naming): name prescribed by the library.
    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        const RpcMethod &method = methods.at(procedure.GetProcedureName());
        const Result<std::string> result = method(detail::writeJson(input));
        if (!result)
            throwError(result.error());
        const std::string &text = result.value();
        if (!detail::parseJson(text.data(), text.data() + text.size(), output))
            throwError(internal("the method's result is no JSON"));
    }

    // NOLINTNEXTLINE(readability-identifier-naming): name prescribed by the library.
    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override
    {}
};

RpcServer::RpcServer()
    : m_data(std::make_unique<Data>())
{}

RpcServer::~RpcServer() = default;

void RpcServer::add(const std::string &name, RpcMethod method)
{
    if (!m_data->methods.emplace(name, std::move(method)).second)
        return;
    m_data->protocol->AddProcedure(jsonrpc::Procedure(
            name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, static_cast<void *>(nullptr)));
}

std::string RpcServer::handle(std::string_view text)
{
    std::string response;
    try {
        m_data->protocol->HandleRequest(std::string(text), response);
    } catch (const std::exception &) {
        return parseErrorResponse;
    }
    return response;
}

} // namespace fescuespring
