#include "rpc/rpcclient.h"
#include "rpc/rpcserver.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

namespace {

void addMethods(RpcServer &server)
{
    server.add("echo",
               [](std::string_view params) -> Result<std::string> { return std::string(params); });
    server.add("refuse", [](std::string_view) -> Result<std::string> {
        return Error{ErrorCode::Conflict, "version is 4", "plans.gold", 7};
    });
    server.add("broken", [](std::string_view) -> Result<std::string> { return "{"; });
}

Result<std::string> callThrough(RpcServer &server, const std::string &method,
                                const std::string &params)
{
    const RpcClient client([&](const std::string &request, const RpcCallback &callback) {
        callback(server.handle(request));
    });
    Result<std::string> outcome = Error{};
    client.call(method, params, [&](const Result<std::string> &result) { outcome = result; });
    return outcome;
}

void assertError(ErrorCode code, const std::string &field, const Result<std::string> &result)
{
    CPPUNIT_ASSERT(result.has_error());
    CPPUNIT_ASSERT_EQUAL(std::string(toString(code)), std::string(toString(result.error().code)));
    CPPUNIT_ASSERT_EQUAL(field, result.error().field);
}

} // namespace

class RpcTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RpcTest);
    CPPUNIT_TEST(resultIsReturned);
    CPPUNIT_TEST(methodErrorIsReturnedUnchanged);
    CPPUNIT_TEST(unknownMethodIsNotFound);
    CPPUNIT_TEST(resultThatIsNotJsonIsAnError);
    CPPUNIT_TEST(paramsMustBeAnObject);
    CPPUNIT_TEST(transportErrorIsReturned);
    CPPUNIT_TEST(firstMethodOfANameIsKept);
    CPPUNIT_TEST(textThatIsNotARequestGetsAnError);
    CPPUNIT_TEST(textThatIsNotAResponseIsMalformed);
    CPPUNIT_TEST_SUITE_END();

public:
    void resultIsReturned()
    {
        RpcServer server;
        addMethods(server);
        const std::string params = R"({"list":["a","\u00e4\n"],"term":18446744073709551615})";
        const Result<std::string> result = callThrough(server, "echo", params);
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT_EQUAL(
                std::string("{\"list\":[\"a\",\"\xc3\xa4\\n\"],\"term\":18446744073709551615}"),
                result.value());
    }

    void methodErrorIsReturnedUnchanged()
    {
        RpcServer server;
        addMethods(server);
        const Result<std::string> result = callThrough(server, "refuse", "{}");
        assertError(ErrorCode::Conflict, "plans.gold", result);
        CPPUNIT_ASSERT_EQUAL(std::string("version is 4"), result.error().message);
        CPPUNIT_ASSERT_EQUAL(7, result.error().line);
    }

    void unknownMethodIsNotFound()
    {
        RpcServer server;
        assertError(ErrorCode::NotFound, "method", callThrough(server, "later", "{}"));
    }

    void resultThatIsNotJsonIsAnError()
    {
        RpcServer server;
        addMethods(server);
        assertError(ErrorCode::Internal, "", callThrough(server, "broken", "{}"));
    }

    void paramsMustBeAnObject()
    {
        RpcServer server;
        addMethods(server);
        for (const char *params : {"", "[]", "7", "{", "{} {}"})
            assertError(ErrorCode::Malformed, "params", callThrough(server, "echo", params));
        std::string deep;
        for (int i = 0; i < 1000; ++i)
            deep += "{\"a\":";
        assertError(ErrorCode::Malformed, "params", callThrough(server, "echo", deep));
    }

    void transportErrorIsReturned()
    {
        const RpcClient client([](const std::string &, const RpcCallback &callback) {
            callback(Error{.code = ErrorCode::Timeout, .message = "after 1 s"});
        });
        Result<std::string> outcome = std::string();
        client.call("echo", "{}", [&](const Result<std::string> &result) { outcome = result; });
        assertError(ErrorCode::Timeout, "", outcome);
    }

    void firstMethodOfANameIsKept()
    {
        RpcServer server;
        addMethods(server);
        server.add("echo", [](std::string_view) -> Result<std::string> { return "1"; });
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), callThrough(server, "echo", "{}").value());
    }

    void textThatIsNotARequestGetsAnError()
    {
        RpcServer server;
        addMethods(server);
        const std::string deep(100'000, '[');
        for (const std::string &text : {std::string(), std::string("{"), std::string("7"),
                                        std::string(R"({"method":"echo"})"), deep}) {
            const std::string response = server.handle(text);
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 20), response.find("\"error\"") != response.npos);
        }
    }

    void textThatIsNotAResponseIsMalformed()
    {
        const std::string deep(100'000, '[');
        for (const std::string &text : {std::string(), std::string("{"), std::string("7"),
                                        std::string("[]"), std::string("{\"id\":1}"), deep})
            assertError(ErrorCode::Malformed, "", decodeRpcResponse(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTest);
