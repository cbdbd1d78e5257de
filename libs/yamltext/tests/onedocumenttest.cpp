#include "yamltext/onedocument.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

class OneDocumentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OneDocumentTest);
    CPPUNIT_TEST(oneDocumentIsAccepted);
    CPPUNIT_TEST(furtherDocumentsAreRefused);
    CPPUNIT_TEST(invalidTextIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneDocumentIsAccepted()
    {
        for (const char *text : {"a: b\n", "a: b", "--- \na: b\n", "%YAML 1.2\n---\na: b\n",
                                 "# x\na: b\n...\n# y\n", "[1, 2]"})
            CPPUNIT_ASSERT_MESSAGE(text, checkOneDocument(text).has_value());
    }

    void furtherDocumentsAreRefused()
    {
        for (const char *text : {"a: b\n---\nc: d\n", "a: b\n...\nc: d\n", "a: b\n---\n"}) {
            const Result<void> checked = checkOneDocument(text);
            CPPUNIT_ASSERT_MESSAGE(text, checked.has_error());
            CPPUNIT_ASSERT_MESSAGE(text, checked.error().line >= 2);
        }
    }

    void invalidTextIsRefused()
    {
        const std::string deep(100'000, '[');
        for (const std::string &text :
             {std::string(), std::string("# x\n"), std::string(",a: b\n"), std::string("a: [\n"),
              std::string("a: b\n}"), std::string("a: b\n- c\n"), deep})
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 20), checkOneDocument(text).has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OneDocumentTest);
