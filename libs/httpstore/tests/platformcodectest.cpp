#include "httpstore/platformcodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

using namespace fescuespring;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string vmText(const std::string &name, const std::string &port)
{
    return R"({"vm":")" + name + R"(","dataCentre":"a","kind":"entry","ip":"10.0.0.1","port":)"
           + port + '}';
}

// Elements that another writer might leave in a list.
std::vector<std::string> oddElements()
{
    return {"7",
            "null",
            "nonsense",
            nested(200),
            vmText("odd", "70000"),
            vmText("odd", "-1"),
            vmText("odd", "1e99999999999"),
            vmText("odd", "\"80\""),
            vmText("odd", "80,\"x\":" + nested(200)),
            vmText("\xff\xfe", "80"),
            R"({"key":"odd","version":1e400,"value":""})",
            R"({"key":"odd","version":-1,"value":""})",
            R"({"key":5,"version":1,"value":""})"};
}

} // namespace

class PlatformCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformCodecTest);
    CPPUNIT_TEST(oddVmDoesNotCostTheOthers);
    CPPUNIT_TEST(listWithAnOddObjectFails);
    CPPUNIT_TEST(textsThatAreNoListsAreMalformed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a VM that follows no list of VMs any more because of one odd entry.
    void oddVmDoesNotCostTheOthers()
    {
        for (const std::string &odd : oddElements()) {
            std::size_t unreadable = 0;
            const auto vms = decodeVms(R"({"vms":[)" + vmText("one", "80") + ',' + odd + ','
                                               + vmText("two", "81") + "]}",
                                       unreadable);
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 60), vms);
            CPPUNIT_ASSERT(vms.value().size() == 2 && unreadable == 1);
            CPPUNIT_ASSERT(vms.value()[1].endpoint.port == 81);
        }
    }

    // Guards against an edit of the lists that is checked against a part of them, or made twice.
    void listWithAnOddObjectFails()
    {
        for (const std::string &odd : oddElements()) {
            const auto objects = decodeObjects(R"({"objects":[{"key":"a","version":1,"value":"x"},)"
                                               + odd + R"(,{"key":"b","version":2,"value":"y"}]})");
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 60), !objects);
            CPPUNIT_ASSERT(objects.error().message.find("object 2 of the list")
                           != std::string::npos);
        }
    }

    void textsThatAreNoListsAreMalformed()
    {
        std::size_t unreadable = 0;
        for (const char *text :
             {"", "[]", "{}", R"({"vms":7})", R"({"vms":[)", R"({"objects":null})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !decodeVms(text, unreadable));
            CPPUNIT_ASSERT_MESSAGE(text, !decodeObjects(text));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecTest);
