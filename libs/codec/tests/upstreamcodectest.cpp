#include "codec/upstreamcodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

namespace {

DatabaseStatus sampleStatus()
{
    DatabaseStatus status;
    status.database = DatabaseId("db-2");
    status.group = GroupId("herd");
    status.role = Role::Primary;
    status.term = Term(3);
    status.received = {.term = Term(3), .position = LogPosition(40)};
    status.applied = {.term = Term(2), .position = LogPosition(39)};
    status.age = std::chrono::milliseconds(12);
    status.history = {{.term = Term(1), .start = LogPosition(1)},
                      {.term = Term(3), .start = LogPosition(40)}};
    return status;
}

template <typename T>
void assertFaultAt(const std::string &field, const Result<T> &result)
{
    CPPUNIT_ASSERT(result.has_error());
    CPPUNIT_ASSERT_EQUAL(field, result.error().field);
}

} // namespace

class UpstreamCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamCodecTest);
    CPPUNIT_TEST(statusRoundTrips);
    CPPUNIT_TEST(statusRequiresAnIncreasingHistory);
    CPPUNIT_TEST(errorsContainThePathOfNestedFields);
    CPPUNIT_TEST(callRoundTrips);
    CPPUNIT_TEST(answerRoundTrips);
    CPPUNIT_TEST(pointIsRequiredUnlessRefused);
    CPPUNIT_TEST(refusalIsRequiredForRefusedCallsOnly);
    CPPUNIT_TEST(openAnswerRequiresTheOutcomeOnly);
    CPPUNIT_TEST(termCallsRoundTrip);
    CPPUNIT_TEST(followRequiresAnEndpoint);
    CPPUNIT_TEST_SUITE_END();

public:
    void statusRoundTrips()
    {
        const DatabaseStatus status = sampleStatus();
        const auto decoded = decodeDatabaseStatus(encodeDatabaseStatus(status));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(status.database == decoded.value().database);
        CPPUNIT_ASSERT(status.group == decoded.value().group);
        CPPUNIT_ASSERT(status.role == decoded.value().role);
        CPPUNIT_ASSERT(status.term == decoded.value().term);
        CPPUNIT_ASSERT(status.received == decoded.value().received);
        CPPUNIT_ASSERT(status.applied == decoded.value().applied);
        CPPUNIT_ASSERT(status.age == decoded.value().age);
        CPPUNIT_ASSERT(status.history == decoded.value().history);
    }

    void statusRequiresAnIncreasingHistory()
    {
        DatabaseStatus status = sampleStatus();
        status.history[1].start = LogPosition(1);
        assertFaultAt("history", decodeDatabaseStatus(encodeDatabaseStatus(status)));
        status.history[1] = {.term = Term(1), .start = LogPosition(40)};
        assertFaultAt("history", decodeDatabaseStatus(encodeDatabaseStatus(status)));
    }

    void errorsContainThePathOfNestedFields()
    {
        std::string text = encodeDatabaseStatus(sampleStatus());
        const std::string position = R"("position":39)";
        text.replace(text.find(position), position.size(), R"("position":"39")");
        assertFaultAt("applied.position", decodeDatabaseStatus(text));
        text = encodeDatabaseStatus(sampleStatus());
        const std::string start = R"("start":40)";
        text.replace(text.find(start), start.size(), R"("stat":40)");
        assertFaultAt("history[1].start", decodeDatabaseStatus(text));
    }

    void callRoundTrips()
    {
        StatementCall call;
        call.kind = CallKind::Statement;
        call.access = Access::Write;
        call.term = Term(UINT64_MAX);
        call.id = RequestId("r-1");
        call.idempotent = false;
        call.statement = "set a \"b\"";
        const auto decoded = decodeStatementCall(encodeStatementCall(call));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(call.kind == decoded.value().kind);
        CPPUNIT_ASSERT(call.access == decoded.value().access);
        CPPUNIT_ASSERT(call.term == decoded.value().term);
        CPPUNIT_ASSERT(call.id == decoded.value().id);
        CPPUNIT_ASSERT_EQUAL(call.idempotent, decoded.value().idempotent);
        CPPUNIT_ASSERT_EQUAL(call.statement, decoded.value().statement);
    }

    void answerRoundTrips()
    {
        StatementAnswer answer;
        answer.outcome = CallOutcome::Done;
        answer.result = "stall-3";
        answer.term = Term(3);
        answer.point = {.term = Term(3), .position = LogPosition(41)};
        answer.repeated = true;
        const auto decoded = decodeStatementAnswer(encodeStatementAnswer(answer));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(answer.outcome == decoded.value().outcome);
        CPPUNIT_ASSERT(answer.refusal == decoded.value().refusal);
        CPPUNIT_ASSERT_EQUAL(answer.result, decoded.value().result);
        CPPUNIT_ASSERT(answer.term == decoded.value().term);
        CPPUNIT_ASSERT(answer.point == decoded.value().point);
        CPPUNIT_ASSERT_EQUAL(answer.repeated, decoded.value().repeated);
    }

    void pointIsRequiredUnlessRefused()
    {
        assertFaultAt("term", decodeStatementAnswer(R"({"outcome":"done"})"));
        assertFaultAt("point", decodeStatementAnswer(R"({"outcome":"failed","term":1})"));
        const auto refused = decodeStatementAnswer(R"({"outcome":"refused","refusal":"busy"})");
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT(refused.value().refusal == CallRefusal::Busy);
    }

    void refusalIsRequiredForRefusedCallsOnly()
    {
        assertFaultAt("refusal", decodeStatementAnswer(R"({"outcome":"refused"})"));
        assertFaultAt("refusal", decodeOpenAnswer(R"({"outcome":"done","refusal":"busy"})"));
    }

    void openAnswerRequiresTheOutcomeOnly()
    {
        CPPUNIT_ASSERT(decodeOpenAnswer(R"({"outcome":"done"})").has_value());
        StatementAnswer refused;
        refused.outcome = CallOutcome::Refused;
        refused.refusal = CallRefusal::ConnectionLimit;
        const auto answer = decodeOpenAnswer(encodeOpenAnswer(refused));
        CPPUNIT_ASSERT(answer.value().refusal == CallRefusal::ConnectionLimit);
        assertFaultAt("outcome", decodeOpenAnswer("{}"));
    }

    void termCallsRoundTrip()
    {
        CPPUNIT_ASSERT(decodeFenceCall(encodeFenceCall({Term(7)})).value().term == Term(7));
        CPPUNIT_ASSERT(decodePromoteCall(encodePromoteCall({Term(7)})).value().term == Term(7));
        assertFaultAt("term", decodeFenceCall("{}"));
        assertFaultAt("term", decodePromoteCall(R"({"term":-1})"));
    }

    void followRequiresAnEndpoint()
    {
        const FollowCall call{.term = Term(7), .primary = {.ip = "10.0.0.9", .port = 65535}};
        const auto decoded = decodeFollowCall(encodeFollowCall(call));
        CPPUNIT_ASSERT(decoded.value().term == call.term);
        CPPUNIT_ASSERT(decoded.value().primary == call.primary);
        assertFaultAt("primary", decodeFollowCall(R"({"term":1,"primary":"10.0.0.9:1"})"));
        assertFaultAt("primary.ip", decodeFollowCall(R"({"term":1,"primary":{"ip":"","port":1}})"));
        for (const char *port : {"0", "65536"}) {
            const std::string text =
                    R"({"term":1,"primary":{"ip":"10.0.0.9","port":)" + std::string(port) + "}}";
            assertFaultAt("primary.port", decodeFollowCall(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamCodecTest);
