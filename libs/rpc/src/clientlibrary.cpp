#include "clientlibrary.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

namespace fescuespring {
namespace detail {

namespace {

// libjsonrpccpp sends and receives in one blocking call. This connector stores the request and
// returns a dummy result at once, so that the request can be sent over an asynchronous transport.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
    // Name and signature are prescribed by the library; noexcept is stricter, as an override may
    // be.
    void SendRPCMessage(const std::string &message, // NOLINT(readability-identifier-naming)
                        std::string &result) noexcept override
    {
        m_request = message;
        result = R"({"jsonrpc":"2.0","id":1,"result":0})";
    }

    const std::string &request() const
    {
        return m_request;
    }

private:
    std::string m_request;
};

} // namespace

std::string buildRequest(const std::string &method, const Json::Value &params)
{
    CapturingConnector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value ignored;
    client.CallMethod(method, params, ignored);
    return connector.request();
}

} // namespace detail
} // namespace fescuespring
