#include "settings/daemonsettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <iterator>

using namespace fescuespring;

namespace {

constexpr const char *minimalSettings = R"(vm: vm-1
dataCentre: andong
callerEndpoint: {ip: 127.0.0.1, port: 0}
peerEndpoint: {ip: 127.0.0.1, port: 0}
# The membershipEndpoint is the peerEndpoint.
platformEndpoint: {ip: 127.0.0.1, port: 21000}
tokenKeys:
  - {id: 1, secret: 0123456789abcdef}
groups:
  - group: herd
    databases:
      - {database: herd-1, dataCentre: andong, endpoint: {ip: 127.0.0.1, port: 21001}}
)";

// Reads the example in docs/SETTINGS.md, so that a test fails if the page becomes outdated.
std::string documentedExample()
{
    std::ifstream file(PROJECT_DIR "/docs/SETTINGS.md");
    const std::string page{std::istreambuf_iterator<char>(file), {}};
    const std::string opening = "```yaml\n";
    const std::size_t start = page.find(opening) + opening.size();
    return page.substr(start, page.find("```", start) - start);
}

std::string withReplacement(std::string text, const std::string &from, const std::string &to)
{
    CPPUNIT_ASSERT_MESSAGE(from, text.find(from) != std::string::npos);
    return text.replace(text.find(from), from.size(), to);
}

std::string errorsOf(const std::string &yaml)
{
    const SettingsResult result = parseDaemonSettings(yaml);
    std::string text;
    if (!result) {
        for (const Error &error : result.error())
            text += describe(error, "f") + '\n';
    }
    return text;
}

void assertErrors(const std::string &expected, const std::string &yaml)
{
    CPPUNIT_ASSERT_EQUAL(expected, errorsOf(yaml));
}

} // namespace

class DaemonSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonSettingsTest);
    CPPUNIT_TEST(minimalFileUsesDefaults);
    CPPUNIT_TEST(documentedExampleIsRead);
    CPPUNIT_TEST(seedsAreReadAndChecked);
    CPPUNIT_TEST(allErrorsAreReportedWithTheirLines);
    CPPUNIT_TEST(missingFieldsAreReported);
    CPPUNIT_TEST(unknownFieldsGetASuggestion);
    CPPUNIT_TEST(wrongTypesAreRejected);
    CPPUNIT_TEST(endpointsAreChecked);
    CPPUNIT_TEST(duplicatesAreRejected);
    CPPUNIT_TEST(relatedFieldsAreChecked);
    CPPUNIT_TEST(loggingIsChecked);
    CPPUNIT_TEST(malformedTextIsAnError);
    CPPUNIT_TEST(missingFileIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void minimalFileUsesDefaults()
    {
        const SettingsResult result = parseDaemonSettings(minimalSettings);
        CPPUNIT_ASSERT_EQUAL(std::string(), errorsOf(minimalSettings));
        const DaemonSettings &settings = result.value();
        CPPUNIT_ASSERT(settings.vm == VmId("vm-1"));
        CPPUNIT_ASSERT(settings.platformEndpoint == (Endpoint{"127.0.0.1", 21000}));
        CPPUNIT_ASSERT(settings.membershipEndpoint == settings.peerEndpoint);
        CPPUNIT_ASSERT_EQUAL(2U, settings.trafficThreads);
        CPPUNIT_ASSERT_EQUAL(20U, settings.groups[0].databases[0].connections);
        CPPUNIT_ASSERT_EQUAL(3U, settings.groups[0].databases[0].slots);
        CPPUNIT_ASSERT(settings.logging.level == LogLevel::Info);
        CPPUNIT_ASSERT(settings.stopDeadline == std::chrono::seconds(10));
    }

    void documentedExampleIsRead()
    {
        const std::string example = documentedExample();
        CPPUNIT_ASSERT_EQUAL(std::string(), errorsOf(example));
        const SettingsResult result = parseDaemonSettings(example);
        const DaemonSettings &settings = result.value();
        CPPUNIT_ASSERT(settings.vm == VmId("vm-andong-1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, settings.tokenKeys.size());
        CPPUNIT_ASSERT_EQUAL(std::uint8_t{2}, settings.tokenKeys[0].id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings.groups[0].databases.size());
        CPPUNIT_ASSERT(settings.logging.layout == LogOptions().layout);
        CPPUNIT_ASSERT(settings.limits.readTimeout == LimitSettings().readTimeout);
        CPPUNIT_ASSERT(settings.timings.platformWatch == TimingSettings().platformWatch);
    }

    void seedsAreReadAndChecked()
    {
        const std::string text = documentedExample();
        const std::string good = "seeds:\n  - {ip: 10.1.0.12, port: 8401}\ntrafficThreads:";
        const SettingsResult settings =
                parseDaemonSettings(withReplacement(text, "trafficThreads:", good));
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8401}, settings.value().seeds.at(0).port);

        const std::string bad = "seeds:\n  - {ip: 10.1.0.12, port: 0}\ntrafficThreads:";
        const SettingsResult rejected =
                parseDaemonSettings(withReplacement(text, "trafficThreads:", bad));
        CPPUNIT_ASSERT(rejected.has_error());
        CPPUNIT_ASSERT_EQUAL(std::string("seeds[0].port"), rejected.error().at(0).field);
    }

    void allErrorsAreReportedWithTheirLines()
    {
        std::string yaml = withReplacement(minimalSettings, "vm: vm-1", "vm: 'vm 1'");
        yaml = withReplacement(yaml, "port: 21000", "port: 70000");
        yaml = withReplacement(yaml, "0123456789abcdef", "short");
        yaml += "stopDeadlineMs: soon\n";
        assertErrors("f:1: vm: must contain only letters, digits, '.', '-' and '_'\n"
                     "f:6: platformEndpoint.port: must be a whole number from 1 to 65535\n"
                     "f:8: tokenKeys[0].secret: must be from 16 to 256 bytes long\n"
                     "f:13: stopDeadlineMs: must be a whole number from 100 to 600000\n",
                     yaml);
    }

    void missingFieldsAreReported()
    {
        assertErrors("f:1: vm: is missing\n"
                     "f:1: dataCentre: is missing\n"
                     "f:1: callerEndpoint: is missing\n"
                     "f:1: peerEndpoint: is missing\n"
                     "f:1: platformEndpoint: is missing\n"
                     "f:1: tokenKeys: is missing\n"
                     "f:1: groups: is missing\n",
                     "{}");
        assertErrors("f:3: callerEndpoint.port: is missing\n",
                     withReplacement(minimalSettings, "callerEndpoint: {ip: 127.0.0.1, port: 0}",
                                     "callerEndpoint: {ip: 127.0.0.1}"));
        assertErrors(
                "f:7: tokenKeys: must be a list with at least one item\n",
                withReplacement(minimalSettings, "\n  - {id: 1, secret: 0123456789abcdef}", " []"));
    }

    void unknownFieldsGetASuggestion()
    {
        assertErrors("f:13: trafficThread: is not a known field, did you mean 'trafficThreads'?\n"
                     "f:14: limits.maxBodyByte: is not a known field, did you mean "
                     "'maxBodyBytes'?\n"
                     "f:15: colour: is not a known field\n",
                     std::string(minimalSettings)
                             + "trafficThread: 3\nlimits: {maxBodyByte: 1}\ncolour: red\n");
    }

    void wrongTypesAreRejected()
    {
        const std::string prefix = "trafficThreads: ";
        const std::string expected = "f:13: trafficThreads: must be a whole number from 1 to 64\n";
        for (const char *value : {"0", "65", "-1", "2.0", "2x", "''", "99999999999999999999"})
            assertErrors(expected, minimalSettings + prefix + value);
        assertErrors("f:13: trafficThreads: must be a single value\n",
                     minimalSettings + prefix + "[2]");
        assertErrors("f:13: trafficThreads: must be a single value\n",
                     minimalSettings + prefix + "~");
        assertErrors("f:8: tokenKeys[0].id: must be a whole number from 0 to 255\n",
                     withReplacement(minimalSettings, "id: 1", "id: 256"));
        assertErrors("f:13: limits: must be a mapping of fields\n",
                     minimalSettings + std::string("limits: 3"));
        assertErrors("f:8: tokenKeys[0]: must be a mapping of fields\n",
                     withReplacement(minimalSettings, "{id: 1, secret: 0123456789abcdef}", "k1"));
    }

    void endpointsAreChecked()
    {
        const std::string caller = "callerEndpoint: {ip: 127.0.0.1, port: 0}";
        assertErrors("f:3: callerEndpoint.ip: must be an IP address\n",
                     withReplacement(minimalSettings, caller,
                                     "callerEndpoint: {ip: vm-1.local, port: 0}"));
        assertErrors("", withReplacement(minimalSettings, caller,
                                         "callerEndpoint: {ip: '::', port: 0}"));
        assertErrors("f:4: peerEndpoint.ip: must be an address that other VMs can reach\n",
                     withReplacement(minimalSettings, "peerEndpoint: {ip: 127.0.0.1, port: 0}",
                                     "peerEndpoint: {ip: 0.0.0.0, port: 0}"));
        std::string same = withReplacement(minimalSettings, caller,
                                           "callerEndpoint: {ip: 127.0.0.1, port: 5}");
        same = withReplacement(same, "peerEndpoint: {ip: 127.0.0.1, port: 0}",
                               "peerEndpoint: {ip: 127.0.0.1, port: 5}");
        assertErrors("f:4: peerEndpoint: is also the callerEndpoint\n", same);
    }

    void duplicatesAreRejected()
    {
        const std::string key = "  - {id: 1, secret: 0123456789abcdef}\n";
        assertErrors("f:9: tokenKeys[1].id: is used twice in tokenKeys\n",
                     withReplacement(minimalSettings, key, key + key));
        assertErrors("f:1: vm: is a duplicate field, again at line 13\n",
                     minimalSettings + std::string("vm: b"));
        const std::string database =
                "      - {database: herd-1, dataCentre: andong, endpoint: {ip: 127.0.0.1, "
                "port: 21001}}\n";
        assertErrors("f:9: groups: database 'herd-1' of group 'herd' has the endpoint of another "
                     "database\n"
                     "f:13: groups[0].databases[1].database: is used twice in its group\n",
                     minimalSettings + database);
    }

    void relatedFieldsAreChecked()
    {
        assertErrors("f:12: groups[0].databases[0].slots: must not exceed connections\n",
                     withReplacement(minimalSettings, "database: herd-1,",
                                     "database: herd-1, connections: 2, slots: 3,"));
        assertErrors("f:13: timings.databaseFailureTimeoutMs: must be at least twice "
                     "databaseProbeIntervalMs\n",
                     minimalSettings + std::string("timings: {databaseFailureTimeoutMs: 999}"));
    }

    void loggingIsChecked()
    {
        assertErrors("f:13: logging.level: must be one of debug, info, warning, error, off\n"
                     "f:13: logging.layout: must contain %m, the log message\n",
                     minimalSettings + std::string("logging: {level: loud, layout: '%p'}"));
        const SettingsResult result = parseDaemonSettings(
                minimalSettings + std::string("logging: {level: debug, file: a.log}"));
        CPPUNIT_ASSERT(result.value().logging.level == LogLevel::Debug);
        CPPUNIT_ASSERT_EQUAL(std::string("a.log"), result.value().logging.file);
    }

    void malformedTextIsAnError()
    {
        for (const char *text : {"[]", "vm", "~"})
            assertErrors("f:1: must be a mapping of fields\n", text);
        assertErrors("f:1: is empty\n", "");
        assertErrors("f:2: must be one YAML document, but goes on after its end\n",
                     "vm: a\n---\nvm: b\n");
        CPPUNIT_ASSERT(errorsOf("vm: [\n").find("f:2: is no YAML") == 0);
        CPPUNIT_ASSERT(errorsOf("[a]: 3").find("f:1: must be") == std::string::npos);
        const std::string deep(100'000, '[');
        CPPUNIT_ASSERT(!errorsOf(deep).empty());
    }

    void missingFileIsAnError()
    {
        const SettingsResult result = loadDaemonSettings("/nowhere/at/all.yaml");
        CPPUNIT_ASSERT(result.has_error());
        CPPUNIT_ASSERT(result.error()[0].code == ErrorCode::NotFound);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);
