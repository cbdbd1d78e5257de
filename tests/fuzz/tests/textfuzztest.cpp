#include "base/counters.h"
#include "keys/keyring.h"
#include "membership/membership.h"
#include "mutation.h"
#include "planlists/listtext.h"
#include "session/sessiontoken.h"
#include "settings/daemonsettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

using namespace fescuespring;

namespace {

constexpr std::uint32_t seed = 20262;
constexpr int mutations = 2000;
constexpr std::size_t deep = 20'000;

void assertDescribed(const ListErrors &errors)
{
    for (const ListError &error : errors)
        CPPUNIT_ASSERT(!error.error.message.empty());
}

std::string settingsExample()
{
    std::ifstream file(PROJECT_DIR "/docs/SETTINGS.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    const std::size_t start = page.find("```yaml\n") + 8;
    return page.substr(start, page.find("```", start) - start);
}

MembershipOptions memberOptions(const char *vm, std::uint16_t port)
{
    const Endpoint endpoint{.ip = "127.0.0.1", .port = port};
    return {.self = VmId(vm),
            .dataCentre = DataCentreId("andong"),
            .endpoints = {.heartbeat = endpoint, .callers = endpoint, .peers = endpoint}};
}

std::vector<std::uint8_t> bytesOf(const std::string &text)
{
    return {text.begin(), text.end()};
}

} // namespace

class TextFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TextFuzzTest);
    CPPUNIT_TEST(settings);
    CPPUNIT_TEST(plans);
    CPPUNIT_TEST(customers);
    CPPUNIT_TEST(sessionToken);
    CPPUNIT_TEST(membershipDatagram);
    CPPUNIT_TEST_SUITE_END();

public:
    void settings()
    {
        const std::string sample = settingsExample();
        CPPUNIT_ASSERT(parseDaemonSettings(sample).has_value());
        Mutation mutation(seed);
        for (int i = 0; i < mutations; ++i)
            checkSettings(mutation.mutated(sample));
        checkSettings(mutation.nested(sample, deep));
        for (std::size_t length = 0; length < sample.size(); length += 7)
            checkSettings(sample.substr(0, length));
    }

    void plans()
    {
        const std::string sample = "customerParts: 2\nplans:\n  gold: {weight: 10, priority: 3, "
                                   "durability: primary, maximumAgeMs: 5}\n  basic: {}\n"
                                   "edits: [e-1, e-2]\n";
        fuzzList(sample, "---\nplans: {}\n", plansComeBack);
    }

    void customers()
    {
        const std::string sample = "customers:\n  coop-7: gold\n  coop-9: basic\nedits: [e-1]\n";
        fuzzList(sample, "...\ncoop-11: gold\n", customersComeBack);
    }

    // A text that is accepted is the token that was signed, never another one.
    void sessionToken()
    {
        const auto keys = KeyRing::create({{.id = 1, .secret = "0123456789abcdef"}});
        const TokenSigner signer = keys.value().tokenSigner();
        SessionToken token;
        token.advance(GroupId("herd"), {.term = Term(3), .position = LogPosition(41)});
        token.advance(GroupId("shelf"), {.term = Term(1), .position = LogPosition(7)});
        const std::string sample = encodeToken(token, signer);
        Mutation mutation(seed);
        for (int i = 0; i < mutations; ++i) {
            const std::string text = mutation.mutated(sample);
            const Result<SessionToken> decoded = decodeToken(text, signer);
            CPPUNIT_ASSERT_MESSAGE(text, !decoded || text.empty() || decoded.value() == token);
        }
        for (std::size_t length = 1; length < sample.size(); ++length)
            CPPUNIT_ASSERT(!decodeToken(sample.substr(0, length), signer));
        CPPUNIT_ASSERT(!decodeToken(std::string(maximumTokenText + 1, 'A'), signer));
    }

    void membershipDatagram()
    {
        Counters counters;
        MembershipOptions options = memberOptions("vm-1", 21901);
        options.seeds = {{.ip = "127.0.0.1", .port = 21902}};
        Membership sender(options, counters);
        Membership receiver(memberOptions("vm-2", 21902), counters);
        Mutation mutation(seed);
        Instant now;
        int received = 0;
        for (int i = 0; i < mutations; ++i) {
            now += Membership::tickInterval;
            receiver.tick(now);
            for (const Datagram &datagram : sender.tick(now).datagrams) {
                const std::string sample(datagram.bytes.begin(), datagram.bytes.end());
                const auto bytes = bytesOf(mutation.mutated(sample));
                const MembershipActions actions =
                        receiver.receive(options.endpoints.heartbeat, bytes, now);
                for (const Datagram &answer : actions.datagrams)
                    CPPUNIT_ASSERT(answer.bytes.size() <= Membership::maximumDatagram);
                ++received;
            }
        }
        CPPUNIT_ASSERT(received > 0);
    }

private:
    static void checkSettings(const std::string &text)
    {
        const SettingsResult result = parseDaemonSettings(text);
        if (result)
            return;
        CPPUNIT_ASSERT(!result.error().empty());
        for (const Error &error : result.error())
            CPPUNIT_ASSERT(!error.message.empty());
    }

    // A list with a second document after it is wrong too.
    static void fuzzList(const std::string &sample, const std::string &second,
                         bool (*comesBack)(const std::string &))
    {
        Mutation mutation(seed);
        int right = 0;
        for (int i = 0; i < mutations; ++i)
            right += comesBack(mutation.mutated(sample)) ? 1 : 0;
        CPPUNIT_ASSERT(right < mutations);
        CPPUNIT_ASSERT(comesBack(sample));
        CPPUNIT_ASSERT(!comesBack(mutation.nested(sample, deep)));
        CPPUNIT_ASSERT(!comesBack(sample + second));
    }

    // Whether the text is right; the text of what was read must then read back as the same.
    static bool plansComeBack(const std::string &text)
    {
        ListErrors errors;
        const PlansPart part = parsePlans(text, errors);
        assertDescribed(errors);
        if (!errors.empty())
            return false;
        const PlansPart again = parsePlans(toText(part), errors);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text + toText(part), std::string(), describe(errors));
        CPPUNIT_ASSERT_MESSAGE(text, part.plans == again.plans && part.edits == again.edits);
        return true;
    }

    static bool customersComeBack(const std::string &text)
    {
        ListErrors errors;
        const CustomersPart part = parseCustomers("customers/0", text, errors);
        assertDescribed(errors);
        if (!errors.empty())
            return false;
        const std::string written = toText(part);
        const CustomersPart again = parseCustomers("customers/0", written, errors);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text + written, std::string(), describe(errors));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, written, toText(again));
        return true;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextFuzzTest);
