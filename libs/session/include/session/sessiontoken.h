#pragma once

#include "base/result.h"
#include "messages/upstream.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fescuespring {

// What a session has seen: for each group the furthest point of the group's log that an answer of
// the session showed. It travels with the caller, so that whichever VM serves the session next
// knows what it must not fall behind. Points only rise.
//
//     auto token = decodeToken(request.token, keys.tokenSigner());
//     ...
//     token.value().advance(group, answer.point);
//     reply.token = encodeToken(token.value(), keys.tokenSigner());
class SessionToken
{
public:
    // The point a read of group must hold; position 0 if the session has seen nothing of it.
    LogPoint point(const GroupId &group) const;

    // Raises the point of group; returns false if the session had seen as much already.
    bool advance(const GroupId &group, LogPoint point);

    // Raises every point to the other token's.
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

// Signs and verifies tokens, so that a caller cannot make up points that no log will ever reach.
// The signature names its own key; verify accepts those of every key that is still in use.
struct TokenSigner
{
    std::function<std::string(std::string_view payload)> sign = {};
    std::function<bool(std::string_view payload, std::string_view signature)> verify = {};
};

// Length of a signature in bytes: one of key id, the rest a truncated MAC.
constexpr std::size_t tokenSignatureSize = 17;

// Longest text of a token that is read.
constexpr std::size_t maximumTokenText = 8192;

// base64url text without padding of: version, count, then name, term and position of each group,
// then the signature. Empty for an empty token.
std::string encodeToken(const SessionToken &token, const TokenSigner &signer);

// The token of text; the empty text is the empty token. Malformed for anything that encodeToken
// under a known key did not write, TooLarge beyond maximumTokenText.
Result<SessionToken> decodeToken(std::string_view text, const TokenSigner &signer);

} // namespace fescuespring
