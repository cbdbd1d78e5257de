#include "codec/jsonparts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <string>

using namespace fescuespring;

namespace {

using Texts = std::vector<std::string_view>;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

class JsonPartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonPartsTest);
    CPPUNIT_TEST(cutsElements);
    CPPUNIT_TEST(cutsMembers);
    CPPUNIT_TEST(partsNeedNotBeValid);
    CPPUNIT_TEST(unclosedTextHasNoParts);
    CPPUNIT_TEST(randomTextsNeverCrash);
    CPPUNIT_TEST_SUITE_END();

public:
    void cutsElements()
    {
        CPPUNIT_ASSERT(jsonElements("[]") == Texts{});
        CPPUNIT_ASSERT(jsonElements(" [ 1 , \"a,]\\\"\" ,{\"b\":[2,3]}\n] ")
                       == (Texts{"1", "\"a,]\\\"\"", "{\"b\":[2,3]}"}));
        CPPUNIT_ASSERT(!jsonElements("{}"));
    }

    void cutsMembers()
    {
        const auto members = jsonMembers(R"({"a": 1, "b":{"a":"}"} ,"a":[2]})");
        CPPUNIT_ASSERT(members && members->size() == 3);
        CPPUNIT_ASSERT(memberText(*members, "b") == R"({"a":"}"})");
        CPPUNIT_ASSERT(memberText(*members, "a") == "[2]");
        CPPUNIT_ASSERT(memberText(*members, "c").empty());
        CPPUNIT_ASSERT(!jsonMembers("[]") && !jsonMembers("{1:2}") && !jsonMembers("{\"a\" 2}"));
    }

    // Guards against one odd part that costs the others, or the stack.
    void partsNeedNotBeValid()
    {
        const std::string deep = nested(500'000);
        const std::string text = "[1," + deep + ",1e99999999999,\"\xff\",nonsense,2]";
        CPPUNIT_ASSERT(jsonElements(text)
                       == (Texts{"1", deep, "1e99999999999", "\"\xff\"", "nonsense", "2"}));
    }

    // Parts of texts that were changed at random lie within them, one behind the other.
    void randomTextsNeverCrash()
    {
        std::mt19937 random(27);
        const std::string pieces = "[]{},:\"\\ a1\n";
        for (int i = 0; i < 20'000; ++i) {
            std::string text = i % 2 == 0 ? "[" : "{";
            for (auto length = random() % 24; length > 0; --length)
                text += pieces[random() % pieces.size()];
            text += i % 2 == 0 ? "]" : "}";
            const char *end = text.data();
            const auto expectBehind = [&](std::string_view part) {
                CPPUNIT_ASSERT(part.data() >= end);
                end = part.data() + part.size();
                CPPUNIT_ASSERT(end <= text.data() + text.size());
            };
            for (const std::string_view element : jsonElements(text).value_or(Texts()))
                expectBehind(element);
            end = text.data();
            for (const JsonMember &member : jsonMembers(text).value_or(std::vector<JsonMember>())) {
                expectBehind(member.name);
                expectBehind(member.value);
            }
        }
    }

    void unclosedTextHasNoParts()
    {
        for (const char *text : {"", "[", "[1", "[1,", "[\"a]", "[\"a\\\"]", "[[1]", "[1]]", "{\"a",
                                 "{\"a\":", "{\"a\":1", "[1}", "[1]2"})
            CPPUNIT_ASSERT_MESSAGE(text, !jsonElements(text) && !jsonMembers(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonPartsTest);
