#include "codec/requestcodec.h"
#include "codec/statuscodec.h"
#include "codec/upstreamcodec.h"
#include "controlcodec/listscodec.h"
#include "controlcodec/vantagecodec.h"
#include "mutation.h"
#include "promotion/grouprecord.h"
#include "rpc/rpcclient.h"
#include "rpc/rpcserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace fescuespring;

namespace {

constexpr std::uint32_t seed = 20261;
constexpr int mutations = 3000;
constexpr int rpcMutations = 5000;
constexpr std::size_t deep = 100'000;
constexpr std::size_t longBytes = std::size_t{5} * 1024 * 1024;

// One decoder with its encoder. Whatever the text: an error that says something, or a value whose
// own text reads back as the same.
template <typename T>
struct Decoder
{
    std::function<Result<T>(std::string_view)> decode;
    std::function<std::string(const T &)> encode;

    bool accepts(const std::string &text) const
    {
        const Result<T> first = decode(text);
        if (!first) {
            CPPUNIT_ASSERT(!first.error().message.empty());
            return false;
        }
        const std::string encoded = encode(first.value());
        const Result<T> second = decode(encoded);
        CPPUNIT_ASSERT_MESSAGE(text, second.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, encoded, encode(second.value()));
        return true;
    }

    // Returns how many mutations were refused.
    int fuzz(const std::string &sample) const
    {
        CPPUNIT_ASSERT_MESSAGE(sample, accepts(sample));
        for (std::size_t length = 0; length < sample.size(); ++length)
            accepts(sample.substr(0, length));
        Mutation mutation(seed);
        int refused = 0;
        for (int i = 0; i < mutations; ++i)
            refused += accepts(mutation.mutated(sample)) ? 0 : 1;
        CPPUNIT_ASSERT(!accepts(mutation.nested(sample, deep)));
        return refused;
    }

    void fuzzJson(const std::string &sample) const
    {
        CPPUNIT_ASSERT(fuzz(sample) > mutations / 2);
        CPPUNIT_ASSERT(!accepts(sample.substr(0, sample.size() - 1)));
        CPPUNIT_ASSERT(!accepts(sample + std::string(longBytes, ' ')));
    }
};

template <typename T>
Decoder<T> withDefaultLimits(Result<T> (*decode)(std::string_view, const DecodeLimits &),
                             std::string (*encode)(const T &))
{
    return {[decode](std::string_view text) { return decode(text, {}); }, encode};
}

constexpr const char *request =
        R"({"customer":"coop-7","session":"s1","group":"herd","access":"read",)"
        R"("statements":["get cow-12","get \"st\u00e4ll\""],"id":"r-1","idempotent":true,)"
        R"("deadlineMs":2000,"maximumAgeMs":500,"length":"short","token":"t","hop":1})";

constexpr const char *status =
        R"({"database":"herd-1","group":"herd","role":"primary","term":3,)"
        R"("received":{"term":3,"position":41},"applied":{"term":3,"position":40},"ageMs":12,)"
        R"("history":[{"term":1,"start":1},{"term":3,"start":39}]})";

constexpr const char *vmStatus =
        R"({"vm":"vm-1","serving":true,"lists":9,"refusedLists":["a"],"members":[{"vm":"vm-2",)"
        R"("peers":{"ip":"10.0.0.2","port":8401}}],"groups":[{"group":"herd","databases":[)"
        R"({"database":"herd-1","role":"replica","lag":3,"ageMs":4}]}]})";

} // namespace

class JsonFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonFuzzTest);
    CPPUNIT_TEST(callerRequest);
    CPPUNIT_TEST(forwardedRequest);
    CPPUNIT_TEST(callerAnswer);
    CPPUNIT_TEST(databaseStatus);
    CPPUNIT_TEST(statementCall);
    CPPUNIT_TEST(statementAnswer);
    CPPUNIT_TEST(openAnswer);
    CPPUNIT_TEST(termCalls);
    CPPUNIT_TEST(operatorAnswers);
    CPPUNIT_TEST(pullOfLists);
    CPPUNIT_TEST(vantage);
    CPPUNIT_TEST(groupRecord);
    CPPUNIT_TEST(rpcRequests);
    CPPUNIT_TEST(rpcAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void callerRequest()
    {
        std::string sample = request;
        sample.replace(sample.find(R"(,"hop":1)"), 8, "");
        withDefaultLimits(decodeCallerRequest, encodeCallerRequest).fuzzJson(sample);
    }

    void forwardedRequest()
    {
        withDefaultLimits(decodeForwardedRequest, encodeForwardedRequest).fuzzJson(request);
    }

    void callerAnswer()
    {
        withDefaultLimits(decodeCallerAnswer, encodeCallerAnswer)
                .fuzzJson(R"({"requestId":"r-1","outcome":"not-run","reason":"queue-full",)"
                          R"("results":["a","b"],"token":"t","retryAfterMs":40,"database":"d",)"
                          R"("byReplica":true})");
    }

    void databaseStatus()
    {
        withDefaultLimits(decodeDatabaseStatus, encodeDatabaseStatus).fuzzJson(status);
    }

    void statementCall()
    {
        withDefaultLimits(decodeStatementCall, encodeStatementCall)
                .fuzzJson(R"({"kind":"run","access":"write","term":3,"id":"r-1",)"
                          R"("idempotent":false,"statement":"set a b"})");
    }

    void statementAnswer()
    {
        withDefaultLimits(decodeStatementAnswer, encodeStatementAnswer)
                .fuzzJson(R"({"outcome":"done","refusal":"none","result":"b","term":3,)"
                          R"("point":{"term":3,"position":41},"repeated":true})");
    }

    void openAnswer()
    {
        withDefaultLimits(decodeOpenAnswer, encodeOpenAnswer)
                .fuzzJson(R"({"outcome":"refused","refusal":"connection-limit"})");
    }

    void termCalls()
    {
        withDefaultLimits(decodeFenceCall, encodeFenceCall).fuzzJson(R"({"term":7})");
        withDefaultLimits(decodePromoteCall, encodePromoteCall).fuzzJson(R"({"term":7})");
        withDefaultLimits(decodeFollowCall, encodeFollowCall)
                .fuzzJson(R"({"term":7,"primary":{"ip":"10.0.0.9","port":5600}})");
    }

    void operatorAnswers()
    {
        const Decoder<VmStatus> decoder{[](std::string_view text) { return decodeVmStatus(text); },
                                        encodeVmStatus};
        decoder.fuzzJson(vmStatus);
        withDefaultLimits(decodeRouteAnswer, encodeRouteAnswer)
                .fuzzJson(R"({"group":"herd","owner":"vm-2","action":"serve","database":"d",)"
                          R"("reason":"too-old","explanation":["a"]})");
    }

    void pullOfLists()
    {
        const ListsRequest known{.known = {.versions = {{"plans", ObjectVersion(7)}}}};
        const Decoder<ListsRequest> requests{decodeListsRequest, encodeListsRequest};
        requests.fuzz(encodeListsRequest(known));
        const ListsAnswer newer{
                .newer = {{.key = "plans", .version = ObjectVersion(8), .value = "plans: {}\n"}},
                .mark = {.version = ObjectVersion(8), .digest = 17}};
        const Decoder<ListsAnswer> answers{decodeListsAnswer, encodeListsAnswer};
        answers.fuzz(encodeListsAnswer(newer));
    }

    void vantage()
    {
        const Decoder<VantageRequest> requests{decodeVantageRequest, encodeVantageRequest};
        requests.fuzz(
                encodeVantageRequest({.group = GroupId("herd"), .database = DatabaseId("herd-1")}));
        const Decoder<VantageAnswer> answers{decodeVantageAnswer, encodeVantageAnswer};
        answers.fuzz(encodeVantageAnswer(
                {.vm = VmId("vm-2"), .known = true, .reachable = true, .term = Term(3)}));
    }

    void groupRecord()
    {
        GroupRecord record{.term = Term(3), .promoter = VmId("vm-2"), .attempt = 17};
        record.primary = DatabaseId("herd-1");
        record.history = {{.term = Term(1), .start = LogPosition(1)},
                          {.term = Term(3), .start = LogPosition(40)}};
        const Decoder<GroupRecord> records{decodeRecord, encodeRecord};
        CPPUNIT_ASSERT(records.accepts(encodeRecord(record)));
        Mutation mutation(seed);
        for (int i = 0; i < mutations; ++i)
            records.accepts(mutation.mutated(encodeRecord(record)));
    }

    void rpcRequests()
    {
        RpcServer server;
        addMethods(server);
        const std::string call =
                encodeRpcRequest("echo", R"({"term":18446744073709551615})").value();
        const std::string answer = server.handle(call);
        Mutation mutation(seed);
        for (int i = 0; i < rpcMutations; ++i)
            (void)server.handle(mutation.mutated(call));
        (void)server.handle(mutation.nested(call, deep));
        CPPUNIT_ASSERT_EQUAL(answer, server.handle(call));
        CPPUNIT_ASSERT(answer.find("18446744073709551615") != std::string::npos);
    }

    void rpcAnswers()
    {
        RpcServer server;
        addMethods(server);
        const std::string answer = server.handle(encodeRpcRequest("echo", "{}").value());
        const std::string refusal = server.handle(encodeRpcRequest("refuse", "{}").value());
        Mutation mutation(seed);
        int errors = 0;
        for (int i = 0; i < rpcMutations; ++i) {
            errors += decodeRpcResponse(mutation.mutated(answer)).has_error() ? 1 : 0;
            errors += decodeRpcResponse(mutation.mutated(refusal)).has_error() ? 1 : 0;
        }
        CPPUNIT_ASSERT(errors > rpcMutations);
        CPPUNIT_ASSERT(!decodeRpcResponse(mutation.nested(answer, deep)));
        CPPUNIT_ASSERT(decodeRpcResponse(answer).has_value());
    }

private:
    static void addMethods(RpcServer &server)
    {
        server.add("echo", [](std::string_view params) -> Result<std::string> {
            return std::string(params);
        });
        server.add("refuse", [](std::string_view) -> Result<std::string> {
            return Error{ErrorCode::Conflict, "version is 4", "plans.gold", 7};
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonFuzzTest);
