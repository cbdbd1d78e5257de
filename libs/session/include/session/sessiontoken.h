#pragma once

#include "base/result.h"
#include "messages/upstream.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fescuespring {

// What a session has observed: for each group, the most advanced log point that an answer to the
// session showed. The caller sends the token with each request, so any VM can serve the session
// without reading older data. Points never decrease.
//
//     auto token = decodeToken(request.token, keys.tokenSigner());
//     ...
//     token.value().advance(group, answer.point);
//     reply.token = encodeToken(token.value(), keys.tokenSigner());
class SessionToken
{
public:
    // The point that a read of group must include; position 0 if the session has not used group.
    LogPoint point(const GroupId &group) const;

    // Raises the point of group; returns false if it was already at point or beyond.
    bool advance(const GroupId &group, LogPoint point);

    // Raises each point to that of other.
    void merge(const SessionToken &other);

    const std::map<GroupId, LogPoint> &points() const
    {
        return m_points;
    }
    bool isEmpty() const
    {
        return m_points.empty();
    }

    bool operator==(const SessionToken &) const = default;

private:
    std::map<GroupId, LogPoint> m_points;
};

// Signs and verifies tokens, so that a caller cannot forge points that no log will ever reach. The
// signature contains its key id; verify accepts every key that is still in use.
struct TokenSigner
{
    std::function<std::string(std::string_view payload)> sign = {};
    std::function<bool(std::string_view payload, std::string_view signature)> verify = {};
};

// Length of a signature in bytes: one byte of key id, then a truncated MAC.
constexpr std::size_t tokenSignatureSize = 17;

// Maximum length of an encoded token.
constexpr std::size_t maximumTokenText = 8192;

// Encodes a token as base64url without padding: version, count, then name, term and position of
// each group, then the signature. An empty token is the empty text.
std::string encodeToken(const SessionToken &token, const TokenSigner &signer);

// Decodes a token; the empty text is the empty token. Fails with Malformed for text that was not
// written by encodeToken with a known key, and with TooLarge beyond maximumTokenText.
Result<SessionToken> decodeToken(std::string_view text, const TokenSigner &signer);

} // namespace fescuespring
