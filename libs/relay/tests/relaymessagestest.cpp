#include "relay/relaymessages.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace fescuespring;
using namespace std::chrono_literals;

namespace {

RelayMessage completeRun()
{
    return {.kind = RelayMessage::Kind::Run,
            .lease = 7,
            .database = DatabaseId("i-1"),
            .customer = CustomerId("harbour"),
            .priority = 2,
            .key = {.digest = KeyDigest("ab12"), .configuration = 41},
            .timeout = 250ms,
            .work = WorkKind("q2c"),
            .limits = StartLimits{.useful = 600ms, .hold = 150ms},
            .command = {.id = RequestId("5c0e"),
                        .after = LogPoint{Term(3), LogPosition(1207)},
                        .statement = {.kind = StatementKind::Execute,
                                      .name = "wq2c",
                                      .argument = "1a4 \"x\\k\t\xc3\xa9"}},
            .values = {{"zone", "kst"}, {"", " "}},
            .hasValues = true,
            .prepared = PreparedStatement{StatementAccess::Write, "q2c"},
            .begin = StatementKind::BeginReadOnly,
            .beginAfter = LogPoint{Term(2), LogPosition(9)}};
}

RelayMessage decoded(const std::string &text)
{
    const Result<RelayMessage> message =
            decodeRelayMessage(std::string_view(text).substr(0, text.size() - 1));
    CPPUNIT_ASSERT(message);
    return message.value();
}

} // namespace

class RelayMessagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayMessagesTest);
    CPPUNIT_TEST(runRoundTrips);
    CPPUNIT_TEST(outcomeRoundTrips);
    CPPUNIT_TEST(learnedFiguresAreOptional);
    CPPUNIT_TEST(bytesThatAreNotUtf8RoundTrip);
    CPPUNIT_TEST(errorNamesTheMissingField);
    CPPUNIT_TEST(malformedTextsAreRefused);
    CPPUNIT_TEST(allowanceMessagesRoundTrip);
    CPPUNIT_TEST(malformedAllowanceMessagesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller, or a database, whose bytes end the connection between two VMs, and
    // with it the statements of all others.
    void bytesThatAreNotUtf8RoundTrip()
    {
        const std::string bytes = "\xff\xfe \xc3(\xed\xa0\x80";
        RelayMessage run = completeRun();
        run.command.statement.argument = bytes;
        run.values[bytes] = bytes;
        const RelayMessage received = decoded(encodeRelayMessage(run));
        CPPUNIT_ASSERT(received.command.statement == run.command.statement);
        CPPUNIT_ASSERT(received.values == run.values);
        const RelayMessage outcome{.kind = RelayMessage::Kind::Outcome,
                                   .outcome = {.reply = {.rows = {bytes}, .signature = bytes}}};
        const StatementReply reply = decoded(encodeRelayMessage(outcome)).outcome.reply;
        CPPUNIT_ASSERT(reply.rows == outcome.outcome.reply.rows && reply.signature == bytes);
    }

    void runRoundTrips()
    {
        const RelayMessage sent = completeRun();
        const RelayMessage received = decoded(encodeRelayMessage(sent));
        CPPUNIT_ASSERT(received.kind == sent.kind && received.lease == sent.lease);
        CPPUNIT_ASSERT(received.database == sent.database && received.priority == sent.priority);
        CPPUNIT_ASSERT(received.customer == sent.customer && received.key == sent.key);
        CPPUNIT_ASSERT(received.timeout == sent.timeout && received.values == sent.values);
        CPPUNIT_ASSERT(received.hasValues && received.work == sent.work);
        CPPUNIT_ASSERT(received.limits && received.limits->useful == 600ms);
        CPPUNIT_ASSERT(received.limits->hold == 150ms);
        CPPUNIT_ASSERT(received.command.id == sent.command.id
                       && received.command.after == sent.command.after);
        CPPUNIT_ASSERT(received.command.statement == sent.command.statement);
        CPPUNIT_ASSERT(received.prepared && received.prepared->access == StatementAccess::Write);
        CPPUNIT_ASSERT_EQUAL(std::string("q2c"), received.prepared->shape);
        CPPUNIT_ASSERT(received.begin == sent.begin && received.beginAfter == sent.beginAfter);
    }

    void outcomeRoundTrips()
    {
        const RelayMessage received = decoded(encodeRelayMessage(
                {.kind = RelayMessage::Kind::Outcome,
                 .lease = 9,
                 .outcome = {
                         .end = LinkEnd::Refused,
                         .reply = {.failure = StatementFailure::Lagging,
                                   .message = "behind",
                                   .rows = {"a", ""},
                                   .signature = "7.1f3",
                                   .phase = SessionPhase::Failed,
                                   .position = LogPoint{Term(1), LogPosition(2)},
                                   .status = UpstreamStatus{.role = Role::Primary,
                                                            .term = Term(4),
                                                            .received = {Term(3), LogPosition(8)},
                                                            .heldTerm = Term(5)}}}}));
        const StatementReply &reply = received.outcome.reply;
        CPPUNIT_ASSERT(received.outcome.end == LinkEnd::Refused);
        CPPUNIT_ASSERT(reply.failure == StatementFailure::Lagging && reply.message == "behind");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reply.rows.size());
        CPPUNIT_ASSERT(reply.phase == SessionPhase::Failed && reply.signature == "7.1f3");
        CPPUNIT_ASSERT(reply.position == LogPoint({Term(1), LogPosition(2)}));
        CPPUNIT_ASSERT(reply.status && reply.status->role == Role::Primary);
        CPPUNIT_ASSERT(reply.status->term == Term(4) && reply.status->heldTerm == Term(5));
        CPPUNIT_ASSERT(reply.status->received == LogPoint({Term(3), LogPosition(8)}));
    }

    // Guards against VMs of an earlier version, or without learned capacity, that lose statements
    // of the others or get fields that they do not know.
    void learnedFiguresAreOptional()
    {
        RelayMessage message{.kind = RelayMessage::Kind::Outcome};
        const std::string without = encodeRelayMessage(message);
        CPPUNIT_ASSERT(without.find("waitUs") == std::string::npos);
        CPPUNIT_ASSERT(!decoded(without).outcome.load);
        message.outcome.load = ExpectedLoad{.wait = 40ms, .service = 7ms};
        const RelayMessage received = decoded(encodeRelayMessage(message));
        CPPUNIT_ASSERT(received.outcome.load && received.outcome.load->wait == 40ms);
        CPPUNIT_ASSERT(received.outcome.load->service == 7ms);
        const RelayMessage run{.kind = RelayMessage::Kind::Run, .database = DatabaseId("i-1")};
        CPPUNIT_ASSERT(encodeRelayMessage(run).find("usefulUs") == std::string::npos);
        CPPUNIT_ASSERT(!decoded(encodeRelayMessage(run)).limits);
    }

    void errorNamesTheMissingField()
    {
        const Result<RelayMessage> run = decodeRelayMessage(R"({"is":0,"lease":1})");
        CPPUNIT_ASSERT(!run);
        CPPUNIT_ASSERT_EQUAL(std::string("database"), run.error().field);
        const Result<RelayMessage> outcome =
                decodeRelayMessage(R"({"is":1,"lease":1,"end":0,"reply":{"failure":99}})");
        CPPUNIT_ASSERT(!outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("reply"), outcome.error().field);
    }

    void malformedTextsAreRefused()
    {
        const std::string text = encodeRelayMessage(completeRun());
        std::mt19937 random(11);
        for (int i = 0; i < 5000; ++i) {
            std::string broken = text.substr(0, random() % text.size());
            for (int j = 0; j < 3 && !broken.empty(); ++j)
                broken[random() % broken.size()] = static_cast<char>(random() % 256);
            // Must neither crash nor throw; a decoded message must be valid.
            const Result<RelayMessage> message = decodeRelayMessage(broken);
            CPPUNIT_ASSERT(!message || message.value().kind <= RelayMessage::Kind::AllowanceAnswer);
        }
    }

    // Guards against a field that a VM does not send on.
    void allowanceMessagesRoundTrip()
    {
        const AllowanceRequest tokens{.kind = AllowanceRequest::Kind::Tokens,
                                      .from = VmId("vm-1"),
                                      .customer = CustomerId("harbour"),
                                      .tokens = 3,
                                      .returned = 2,
                                      .returnedTo = VmId("vm-2"),
                                      .isForwarded = true};
        const AllowanceRequest borrow{.kind = AllowanceRequest::Kind::Borrow,
                                      .from = VmId("vm-1"),
                                      .customer = CustomerId("harbour"),
                                      .fraction = 0.25,
                                      .held = 1,
                                      .serial = 8};
        const AllowanceRequest hello{.from = VmId("vm-1"),
                                     .isCounting = true,
                                     .about = VmId("vm-3"),
                                     .lent = {{CustomerId("harbour"), 0.5, 9s}}};
        for (const AllowanceRequest &request : {tokens, borrow, hello}) {
            const RelayMessage received =
                    decoded(encodeRelayMessage({.kind = RelayMessage::Kind::AllowanceRequest,
                                                .lease = 4,
                                                .allowanceRequest = request}));
            CPPUNIT_ASSERT(received.allowanceRequest == request && received.lease == 4);
        }
        const AllowanceAnswer answer{.isCounting = true,
                                     .granter = VmId("vm-2"),
                                     .tokens = 5,
                                     .retryAfter = 20ms,
                                     .countingAge = 0ms,
                                     .fraction = 0.125};
        for (const AllowanceAnswer &one : {answer, AllowanceAnswer()}) {
            const RelayMessage received =
                    decoded(encodeRelayMessage({.kind = RelayMessage::Kind::AllowanceAnswer,
                                                .lease = 4,
                                                .allowanceAnswer = one}));
            CPPUNIT_ASSERT(received.allowanceAnswer == one);
        }
    }

    // Guards against a loan of more than the allowance, or of no number.
    void malformedAllowanceMessagesAreRefused()
    {
        for (const char *fields :
             {R"("fraction":3)", R"("fraction":"x")", R"("held":-1)", R"("tokens":-1)",
              R"("ask":9)", R"("lent":7)", R"("lent":[{"fraction":9}])", R"("from":2)"}) {
            const Result<RelayMessage> message = decodeRelayMessage(
                    R"({"is":5,"lease":1,"allowance":{)" + std::string(fields) + "}}");
            CPPUNIT_ASSERT(!message);
            CPPUNIT_ASSERT_EQUAL(std::string("allowance"), message.error().field);
        }
        CPPUNIT_ASSERT(!decodeRelayMessage(R"({"is":6,"lease":1})"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayMessagesTest);
