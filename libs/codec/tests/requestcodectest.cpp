#include "codec/requestcodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

namespace {

const std::string commonStart = R"({"customer":"coop-7","session":"s1","group":"herd",)";
const std::string commonEnd =
        R"("statements":["set cow-12 stall-3"],"id":"r-1","deadlineMs":2000})";

std::string write(const std::string &extra = {})
{
    return commonStart + R"("access":"write",)" + extra + commonEnd;
}

std::string read(const std::string &extra = {})
{
    return commonStart + R"("access":"read",)" + extra + commonEnd;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

CallerRequest sample()
{
    CallerRequest request;
    request.customer = CustomerId("coop-7");
    request.session = SessionId("s1");
    request.group = GroupId("herd");
    request.access = Access::Read;
    request.statements = {"get cow-12", "get \"stall\"\n\xc3\xa4"};
    request.id = RequestId("r-1");
    request.idempotent = true;
    request.deadline = std::chrono::milliseconds(2000);
    request.maximumAge = std::chrono::milliseconds(0);
    request.length = WorkLength::Long;
    request.token = "t.1";
    return request;
}

void assertSame(const CallerRequest &expected, const CallerRequest &actual)
{
    CPPUNIT_ASSERT(expected.customer == actual.customer);
    CPPUNIT_ASSERT(expected.session == actual.session);
    CPPUNIT_ASSERT(expected.group == actual.group);
    CPPUNIT_ASSERT(expected.access == actual.access);
    CPPUNIT_ASSERT(expected.statements == actual.statements);
    CPPUNIT_ASSERT(expected.id == actual.id);
    CPPUNIT_ASSERT_EQUAL(expected.idempotent, actual.idempotent);
    CPPUNIT_ASSERT(expected.deadline == actual.deadline);
    CPPUNIT_ASSERT(expected.maximumAge == actual.maximumAge);
    CPPUNIT_ASSERT(expected.length == actual.length);
    CPPUNIT_ASSERT_EQUAL(expected.token, actual.token);
}

void assertFails(const std::string &text, ErrorCode code, const std::string &field)
{
    const Result<CallerRequest> result = decodeCallerRequest(text);
    CPPUNIT_ASSERT_MESSAGE(text, result.has_error());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, field, result.error().field);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(toString(code)),
                                 std::string(toString(result.error().code)));
}

} // namespace

class RequestCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestCodecTest);
    CPPUNIT_TEST(requestRoundTrips);
    CPPUNIT_TEST(optionalFieldsHaveDefaults);
    CPPUNIT_TEST(missingFieldsAreReported);
    CPPUNIT_TEST(unknownFieldsAreRefused);
    CPPUNIT_TEST(wrongTypesAreRefused);
    CPPUNIT_TEST(namesMustNotBeEmptyOrTooLong);
    CPPUNIT_TEST(numberOfStatementsIsLimited);
    CPPUNIT_TEST(deadlineIsLimited);
    CPPUNIT_TEST(maximumAgeIsAllowedForReadsOnly);
    CPPUNIT_TEST(textOtherThanAnObjectIsMalformed);
    CPPUNIT_TEST(sizeAndDepthAreLimited);
    CPPUNIT_TEST(forwardedRequestRoundTrips);
    CPPUNIT_TEST(forwardedRequestIgnoresUnknownFieldsAndLimitsHops);
    CPPUNIT_TEST(answerRoundTrips);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestRoundTrips()
    {
        const auto decoded = decodeCallerRequest(encodeCallerRequest(sample()));
        CPPUNIT_ASSERT(decoded.has_value());
        assertSame(sample(), decoded.value());
    }

    void optionalFieldsHaveDefaults()
    {
        const Result<CallerRequest> request = decodeCallerRequest(write());
        CPPUNIT_ASSERT(request.has_value());
        CPPUNIT_ASSERT(!request.value().idempotent);
        CPPUNIT_ASSERT(!request.value().maximumAge);
        CPPUNIT_ASSERT(request.value().length == WorkLength::Unknown);
        CPPUNIT_ASSERT(request.value().token.empty());
    }

    void missingFieldsAreReported()
    {
        const std::string fields[] = {"customer",   "session", "group",     "access",
                                      "statements", "id",      "deadlineMs"};
        for (const std::string &field : fields) {
            const std::string text = replaced(write(), '"' + field + '"', "\"x\"");
            assertFails(text, ErrorCode::MissingField, field);
        }
    }

    void unknownFieldsAreRefused()
    {
        assertFails(write(R"("sesion":"s",)"), ErrorCode::UnknownField, "sesion");
        assertFails(write(R"("hop":1,)"), ErrorCode::UnknownField, "hop");
    }

    void wrongTypesAreRefused()
    {
        const ErrorCode code = ErrorCode::InvalidField;
        assertFails(replaced(write(), "\"coop-7\"", "7"), code, "customer");
        assertFails(replaced(write(), "\"write\"", "\"wirte\""), code, "access");
        assertFails(replaced(write(), "[\"set cow-12 stall-3\"]", "[\"a\",1]"), code,
                    "statements[1]");
        assertFails(replaced(write(), "[\"set cow-12 stall-3\"]", "\"a\""), code, "statements");
        assertFails(replaced(write(), "2000", "2000.0"), code, "deadlineMs");
        assertFails(write(R"("idempotent":"yes",)"), code, "idempotent");
        assertFails(write(R"("length":"huge",)"), code, "length");
        assertFails(write(R"("token":null,)"), code, "token");
        assertFails(read(R"("maximumAgeMs":null,)"), code, "maximumAgeMs");
    }

    void namesMustNotBeEmptyOrTooLong()
    {
        const ErrorCode code = ErrorCode::InvalidField;
        assertFails(replaced(write(), "coop-7", ""), code, "customer");
        assertFails(replaced(write(), "s1", ""), code, "session");
        assertFails(replaced(write(), "herd", ""), code, "group");
        assertFails(replaced(write(), "r-1", ""), code, "id");
        assertFails(replaced(write(), "r-1", std::string(maximumNameBytes + 1, 'r')), code, "id");
        const std::string longest(maximumNameBytes, 'r');
        CPPUNIT_ASSERT(decodeCallerRequest(replaced(write(), "r-1", longest)).has_value());
    }

    void numberOfStatementsIsLimited()
    {
        CallerRequest request = sample();
        request.statements.assign(maximumStatements, "get a");
        CPPUNIT_ASSERT(decodeCallerRequest(encodeCallerRequest(request)).has_value());
        request.statements.emplace_back("get a");
        assertFails(encodeCallerRequest(request), ErrorCode::InvalidField, "statements");
        request.statements.clear();
        assertFails(encodeCallerRequest(request), ErrorCode::InvalidField, "statements");
    }

    void deadlineIsLimited()
    {
        for (const char *deadline : {"0", "-1", "600001", "18446744073709551615"})
            assertFails(replaced(write(), "2000", deadline), ErrorCode::InvalidField, "deadlineMs");
        for (const char *deadline : {"1", "600000"})
            CPPUNIT_ASSERT(decodeCallerRequest(replaced(write(), "2000", deadline)).has_value());
    }

    void maximumAgeIsAllowedForReadsOnly()
    {
        const std::string age = R"("maximumAgeMs":500,)";
        CPPUNIT_ASSERT(decodeCallerRequest(read(age)).value().maximumAge
                       == std::chrono::milliseconds(500));
        assertFails(write(age), ErrorCode::InvalidField, "maximumAgeMs");
        assertFails(read(R"("maximumAgeMs":31536000001,)"), ErrorCode::InvalidField,
                    "maximumAgeMs");
    }

    void textOtherThanAnObjectIsMalformed()
    {
        for (const char *text :
             {"", "[]", "7", "null", "{", "{} {}", "{\"a\":\"\xff\"}", "{'a':1}"})
            assertFails(text, ErrorCode::Malformed, "");
    }

    void sizeAndDepthAreLimited()
    {
        const DecodeLimits limits;
        assertFails(std::string(limits.bytes + 1, ' '), ErrorCode::TooLarge, "");
        const std::string deep(limits.depth, '[');
        assertFails(write("\"token\":" + deep), ErrorCode::TooLarge, "");
        const DecodeLimits narrow{.bytes = write().size() - 1};
        CPPUNIT_ASSERT(decodeCallerRequest(write(), narrow).error().code == ErrorCode::TooLarge);
    }

    void forwardedRequestRoundTrips()
    {
        const ForwardedRequest forwarded{.request = sample(), .hop = 2};
        const auto decoded = decodeForwardedRequest(encodeForwardedRequest(forwarded));
        CPPUNIT_ASSERT(decoded.has_value());
        assertSame(sample(), decoded.value().request);
        CPPUNIT_ASSERT_EQUAL(2U, decoded.value().hop);
    }

    void forwardedRequestIgnoresUnknownFieldsAndLimitsHops()
    {
        CPPUNIT_ASSERT(decodeForwardedRequest(write(R"("hop":1,"later":{},)")).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("hop"), decodeForwardedRequest(write()).error().field);
        for (const char *hop : {"\"hop\":0,", "\"hop\":3,", "\"hop\":4294967297,"}) {
            const auto decoded = decodeForwardedRequest(write(hop));
            CPPUNIT_ASSERT_EQUAL(std::string("hop"), decoded.error().field);
        }
    }

    void answerRoundTrips()
    {
        CallerAnswer answer;
        answer.requestId = RequestId("r-1");
        answer.outcome = Outcome::NotRun;
        answer.reason = Reason::QueueFull;
        answer.results = {"a", ""};
        answer.token = "t.2";
        answer.retryAfter = std::chrono::milliseconds(40);
        answer.database = DatabaseId("db-2");
        answer.byReplica = true;
        const auto decoded = decodeCallerAnswer(encodeCallerAnswer(answer));
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(answer.requestId == decoded.value().requestId);
        CPPUNIT_ASSERT(answer.outcome == decoded.value().outcome);
        CPPUNIT_ASSERT(answer.reason == decoded.value().reason);
        CPPUNIT_ASSERT(answer.results == decoded.value().results);
        CPPUNIT_ASSERT_EQUAL(answer.token, decoded.value().token);
        CPPUNIT_ASSERT(answer.retryAfter == decoded.value().retryAfter);
        CPPUNIT_ASSERT(answer.database == decoded.value().database);
        CPPUNIT_ASSERT_EQUAL(answer.byReplica, decoded.value().byReplica);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestCodecTest);
