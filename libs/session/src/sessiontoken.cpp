#include "session/sessiontoken.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace fescuespring {

namespace {

constexpr std::uint8_t tokenVersion = 1;
constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned bitsPerCharacter = 6;
constexpr unsigned bitsPerByte = 8;
constexpr unsigned bitsPerVarintByte = 7;
constexpr std::uint8_t varintContinues = 0x80;
constexpr unsigned maximumVarintShift = 63;

std::string toBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * bitsPerByte + bitsPerCharacter - 1) / bitsPerCharacter);
    std::uint32_t buffer = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        buffer = (buffer << bitsPerByte) | static_cast<std::uint8_t>(byte);
        bits += bitsPerByte;
        while (bits >= bitsPerCharacter) {
            bits -= bitsPerCharacter;
            text += alphabet[(buffer >> bits) & 0x3f];
        }
    }
    if (bits > 0)
        text += alphabet[(buffer << (bitsPerCharacter - bits)) & 0x3f];
    return text;
}

constexpr std::array<std::int8_t, 256> characterValues = [] {
    std::array<std::int8_t, 256> values{};
    values.fill(-1);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
        values[static_cast<std::uint8_t>(alphabet[i])] = static_cast<std::int8_t>(i);
    return values;
}();

std::optional<std::string> fromBase64Url(std::string_view text)
{
    std::string bytes;
    bytes.reserve(text.size() * bitsPerCharacter / bitsPerByte);
    std::uint32_t buffer = 0;
    unsigned bits = 0;
    for (const char character : text) {
        const std::int8_t value = characterValues[static_cast<std::uint8_t>(character)];
        if (value < 0)
            return std::nullopt;
        buffer = (buffer << bitsPerCharacter) | static_cast<std::uint32_t>(value);
        bits += bitsPerCharacter;
        if (bits >= bitsPerByte) {
            bits -= bitsPerByte;
            bytes += static_cast<char>((buffer >> bits) & 0xff);
        }
    }
    return bytes;
}

void appendVarint(std::string &bytes, std::uint64_t value)
{
    while (value >= varintContinues) {
        bytes += static_cast<char>(value | varintContinues);
        value >>= bitsPerVarintByte;
    }
    bytes += static_cast<char>(value);
}

// Reads values from the front of a payload; every function returns nothing if the payload is too
// short.
class PayloadReader
{
public:
    explicit PayloadReader(std::string_view bytes)
        : m_bytes(bytes)
    {}

    std::optional<std::uint64_t> varint()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift <= maximumVarintShift; shift += bitsPerVarintByte) {
            if (m_bytes.empty())
                return std::nullopt;
            const auto byte = static_cast<std::uint8_t>(m_bytes.front());
            m_bytes.remove_prefix(1);
            value |= static_cast<std::uint64_t>(byte & (varintContinues - 1)) << shift;
            if (byte < varintContinues)
                return value;
        }
        return std::nullopt;
    }

    std::optional<std::string> name()
    {
        const auto size = varint();
        if (!size || *size > m_bytes.size())
            return std::nullopt;
        std::string name(m_bytes.substr(0, *size));
        m_bytes.remove_prefix(*size);
        return name;
    }

    bool isAtEnd() const
    {
        return m_bytes.empty();
    }

private:
    std::string_view m_bytes;
};

std::optional<SessionToken> readPayload(std::string_view payload)
{
    PayloadReader reader(payload);
    const auto version = reader.varint();
    const auto count = reader.varint();
    if (version != tokenVersion || !count)
        return std::nullopt;
    SessionToken token;
    for (std::uint64_t i = 0; i < *count; ++i) {
        auto name = reader.name();
        const auto term = reader.varint();
        const auto position = reader.varint();
        if (!name || !term || !position)
            return std::nullopt;
        token.advance(GroupId(std::move(*name)), {Term(*term), LogPosition(*position)});
    }
    if (!reader.isAtEnd())
        return std::nullopt;
    return token;
}

Error malformed(const char *message)
{
    return Error{ErrorCode::Malformed, message, "token"};
}

} // namespace

LogPoint SessionToken::point(const GroupId &group) const
{
    const auto found = m_points.find(group);
    return found == m_points.end() ? LogPoint() : found->second;
}

bool SessionToken::advance(const GroupId &group, LogPoint point)
{
    if (point.position == LogPosition())
        return false;
    LogPoint &current = m_points[group];
    if (point <= current)
        return false;
    current = point;
    return true;
}

void SessionToken::merge(const SessionToken &other)
{
    for (const auto &[group, point] : other.m_points)
        advance(group, point);
}

std::string encodeToken(const SessionToken &token, const TokenSigner &signer)
{
    if (token.isEmpty())
        return {};
    std::string payload;
    appendVarint(payload, tokenVersion);
    appendVarint(payload, token.points().size());
    for (const auto &[group, point] : token.points()) {
        appendVarint(payload, group.value().size());
        payload += group.value();
        appendVarint(payload, point.term.value());
        appendVarint(payload, point.position.value());
    }
    return toBase64Url(payload + signer.sign(payload));
}

Result<SessionToken> decodeToken(std::string_view text, const TokenSigner &signer)
{
    if (text.empty())
        return SessionToken();
    if (text.size() > maximumTokenText)
        return Error{ErrorCode::TooLarge, "the token is too long", "token"};
    const auto bytes = fromBase64Url(text);
    if (!bytes || bytes->size() <= tokenSignatureSize)
        return malformed("the token is not a base64url-encoded signed payload");
    const std::string_view all(*bytes);
    const std::string_view payload = all.substr(0, all.size() - tokenSignatureSize);
    if (!signer.verify(payload, all.substr(payload.size())))
        return malformed("the token is not signed with a known key");
    auto token = readPayload(payload);
    if (!token)
        return malformed("the token has an unsupported version or a malformed payload");
    return std::move(*token);
}

} // namespace fescuespring
