#include "valuepatch/valuepatch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace fescuespring;

namespace {

constexpr std::size_t limit = 1'000'000;

// A configuration in which all routes differ; several hundred KB for thousands of routes.
std::string configuration(int routes, int changedRoute = -1)
{
    std::mt19937 random(3);
    std::string text = R"({"version":)" + std::to_string(changedRoute) + R"(,"routes":[)";
    for (int i = 0; i < routes; ++i) {
        text += R"({"name":"route-)" + std::to_string(random()) + R"(","timeoutMs":)"
                + (i == changedRoute ? "900" : "800") + R"(,"group":"group-)"
                + std::to_string(random()) + R"("},)";
    }
    return text + "]}";
}

} // namespace

class ValuePatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ValuePatchTest);
    CPPUNIT_TEST(patchRestoresTheNewValue);
    CPPUNIT_TEST(smallChangeOfALargeValueMakesASmallPatch);
    CPPUNIT_TEST(patchForAnotherValueFails);
    CPPUNIT_TEST(corruptPatchesAreRejected);
    CPPUNIT_TEST(resultLengthIsLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    void patchRestoresTheNewValue()
    {
        const std::string texts[] = {"", "a", configuration(20), configuration(2000, 5),
                                     std::string(300'000, 'x')};
        for (const std::string &before : texts) {
            for (const std::string &after : texts) {
                const Result<std::string> restored =
                        applyPatch(before, makePatch(before, after).value(), limit);
                CPPUNIT_ASSERT(restored && restored.value() == after);
            }
        }
    }

    void smallChangeOfALargeValueMakesASmallPatch()
    {
        const std::string before = configuration(5000);
        const std::string after = configuration(5000, 2500);
        CPPUNIT_ASSERT(before.size() > 300'000);
        CPPUNIT_ASSERT(makePatch(before, after).value().size() < 1000);
    }

    void patchForAnotherValueFails()
    {
        const std::string before = configuration(2000);
        const std::string patch = makePatch(before, configuration(2000, 7)).value();
        CPPUNIT_ASSERT(!applyPatch(configuration(2000, 9), patch, limit));
        CPPUNIT_ASSERT(!applyPatch("", patch, limit));
    }

    void corruptPatchesAreRejected()
    {
        const std::string before = configuration(200);
        const std::string after = configuration(200, 50);
        const std::string patch = makePatch(before, after).value();
        std::mt19937 random(11);
        for (int i = 0; i < 5000; ++i) {
            std::string corrupt = patch.substr(0, random() % (patch.size() + 1));
            for (int j = 0; j < 2 && !corrupt.empty(); ++j)
                corrupt[random() % corrupt.size()] = static_cast<char>(random() % 256);
            const Result<std::string> restored = applyPatch(before, corrupt, limit);
            CPPUNIT_ASSERT(!restored || restored.value() == after);
        }
    }

    void resultLengthIsLimited()
    {
        const std::string after(100'000, 'y');
        const Result<std::string> restored =
                applyPatch("", makePatch("", after).value(), after.size() - 1);
        CPPUNIT_ASSERT(!restored && restored.error().code == ErrorCode::TooLarge);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValuePatchTest);
