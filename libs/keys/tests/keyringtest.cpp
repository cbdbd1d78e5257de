#include "keys/keyring.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuespring;

namespace {

const Key oldKey{.id = 1, .secret = "sixteen bytes, old key"};
const Key newKey{.id = 2, .secret = "sixteen bytes, new key"};
const GroupId herd("herd");
const GroupId prices("prices");

TokenSigner signerOf(std::vector<Key> keys)
{
    return KeyRing::create(std::move(keys)).value().tokenSigner();
}

SessionToken sampleToken()
{
    SessionToken token;
    token.advance(herd, {Term(3), LogPosition(1000)});
    token.advance(prices, {Term(1), LogPosition(7)});
    return token;
}

} // namespace

class KeyRingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyRingTest);
    CPPUNIT_TEST(decodedTokenEqualsEncodedToken);
    CPPUNIT_TEST(olderKeyStillVerifies);
    CPPUNIT_TEST(modifiedTokenIsRejected);
    CPPUNIT_TEST(invalidKeysAreRejected);
    CPPUNIT_TEST(tokenNeverMovesBackwards);
    CPPUNIT_TEST_SUITE_END();

public:
    void decodedTokenEqualsEncodedToken()
    {
        const TokenSigner signer = signerOf({oldKey});
        const std::string text = encodeToken(sampleToken(), signer);
        CPPUNIT_ASSERT(decodeToken(text, signer).value() == sampleToken());
        CPPUNIT_ASSERT(encodeToken(SessionToken(), signer).empty());
        CPPUNIT_ASSERT(decodeToken("", signer).value().isEmpty());
    }

    void olderKeyStillVerifies()
    {
        const std::string text = encodeToken(sampleToken(), signerOf({oldKey}));
        CPPUNIT_ASSERT(decodeToken(text, signerOf({newKey, oldKey})).has_value());
        CPPUNIT_ASSERT(decodeToken(text, signerOf({newKey})).has_error());
    }

    void modifiedTokenIsRejected()
    {
        const TokenSigner signer = signerOf({oldKey});
        const std::string text = encodeToken(sampleToken(), signer);
        for (std::size_t i = 0; i + 1 < text.size(); ++i) {
            std::string modified = text;
            modified[i] = modified[i] == 'A' ? 'B' : 'A';
            CPPUNIT_ASSERT(decodeToken(modified, signer).has_error());
            CPPUNIT_ASSERT(decodeToken(text.substr(0, i + 1), signer).has_error());
        }
        const std::string longText(maximumTokenText + 1, 'A');
        CPPUNIT_ASSERT(decodeToken(longText, signer).error().code == ErrorCode::TooLarge);
    }

    void invalidKeysAreRejected()
    {
        CPPUNIT_ASSERT(KeyRing::create({}).has_error());
        CPPUNIT_ASSERT(KeyRing::create({oldKey, oldKey}).has_error());
        CPPUNIT_ASSERT(KeyRing::create({{.id = 1, .secret = "short"}}).has_error());
    }

    void tokenNeverMovesBackwards()
    {
        SessionToken token = sampleToken();
        CPPUNIT_ASSERT(!token.advance(herd, {Term(2), LogPosition(9000)}));
        CPPUNIT_ASSERT(token.advance(herd, {Term(4), LogPosition(900)}));
        CPPUNIT_ASSERT(!token.advance(GroupId("empty"), {}));
        SessionToken merged = sampleToken();
        merged.merge(token);
        CPPUNIT_ASSERT(merged == token);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyRingTest);
