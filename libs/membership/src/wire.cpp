#include "wire.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>

namespace fescuespring::detail {

namespace {

// Layout, integers big-endian: magic, format, offset of the updates (2 bytes), kind, flags, data
// centre, sender, incarnation (8), lists version (8), lists digest (4), view digest (8),
// sequence (4), target, target's heartbeat; then a count (1) and the updates, each preceded by its
// length (2). Strings are preceded by their length (1).
constexpr std::uint8_t magic = 0xfe;
constexpr std::uint8_t format = 1;
constexpr std::uint8_t leavingFlag = 1;
constexpr std::size_t offsetPosition = 2;
constexpr std::size_t maximumStringSize = 255;
constexpr std::uint8_t maximumUpdates = 255;
constexpr int bitsPerByte = 8;

class Writer
{
public:
    void number(std::uint64_t value, int size)
    {
        for (int i = size - 1; i >= 0; --i)
            m_bytes.push_back(static_cast<std::uint8_t>(value >> (i * bitsPerByte)));
    }
    void text(const std::string &value)
    {
        const std::size_t size = std::min(value.size(), maximumStringSize);
        number(size, 1);
        m_bytes.insert(m_bytes.end(), value.begin(),
                       value.begin() + static_cast<std::ptrdiff_t>(size));
    }
    void endpoint(const Endpoint &value)
    {
        text(value.ip);
        number(value.port, 2);
    }
    std::vector<std::uint8_t> take()
    {
        return std::move(m_bytes);
    }

private:
    std::vector<std::uint8_t> m_bytes;
};

// Reads past the end return zero or an empty string, and clear isGood.
class Reader
{
public:
    explicit Reader(std::span<const std::uint8_t> bytes)
        : m_bytes(bytes)
    {}

    std::uint64_t number(int size)
    {
        const std::span<const std::uint8_t> part = take(static_cast<std::size_t>(size));
        std::uint64_t value = 0;
        for (const std::uint8_t byte : part)
            value = (value << bitsPerByte) | byte;
        return value;
    }
    std::string text()
    {
        const std::span<const std::uint8_t> part = take(number(1));
        return {part.begin(), part.end()};
    }
    Endpoint endpoint()
    {
        std::string ip = text();
        return {std::move(ip), static_cast<std::uint16_t>(number(2))};
    }
    std::span<const std::uint8_t> take(std::size_t size)
    {
        if (size > m_bytes.size()) {
            m_good = false;
            m_bytes = {};
            return {};
        }
        const std::span<const std::uint8_t> part = m_bytes.first(size);
        m_bytes = m_bytes.subspan(size);
        return part;
    }
    bool isGood() const
    {
        return m_good;
    }

private:
    std::span<const std::uint8_t> m_bytes;
    bool m_good = true;
};

Error malformed(const char *what)
{
    return {ErrorCode::Malformed, what};
}

std::optional<MemberUpdate> decodeUpdate(std::span<const std::uint8_t> bytes)
{
    Reader reader(bytes);
    MemberUpdate update;
    update.vm = VmId(reader.text());
    update.incarnation = Incarnation(reader.number(8));
    const std::uint64_t state = reader.number(1);
    update.endpoints.heartbeat = reader.endpoint();
    update.endpoints.callers = reader.endpoint();
    update.endpoints.peers = reader.endpoint();
    if (!reader.isGood() || update.vm.isEmpty()
        || state > static_cast<std::uint64_t>(MemberState::Left))
        return std::nullopt;
    update.state = static_cast<MemberState>(state);
    return update;
}

bool decodeHeader(Reader &reader, Message &message)
{
    const std::uint64_t kind = reader.number(1);
    message.leaving = (reader.number(1) & leavingFlag) != 0;
    message.dataCentre = DataCentreId(reader.text());
    message.sender = VmId(reader.text());
    message.incarnation = Incarnation(reader.number(8));
    message.lists.version = ObjectVersion(reader.number(8));
    message.lists.digest = static_cast<std::uint32_t>(reader.number(4));
    message.viewDigest = reader.number(8);
    message.sequence = static_cast<std::uint32_t>(reader.number(4));
    message.target = VmId(reader.text());
    message.targetHeartbeat = reader.endpoint();
    if (kind > static_cast<std::uint64_t>(MessageKind::Updates))
        return false;
    message.kind = static_cast<MessageKind>(kind);
    return reader.isGood() && !message.sender.isEmpty();
}

bool decodeUpdates(Reader &reader, Message &message)
{
    const std::uint64_t count = reader.number(1);
    message.updates.reserve(count);
    for (std::uint64_t i = 0; i < count; ++i) {
        std::optional<MemberUpdate> update = decodeUpdate(reader.take(reader.number(2)));
        if (!update)
            return false;
        message.updates.push_back(*std::move(update));
    }
    return reader.isGood();
}

} // namespace

std::vector<std::uint8_t> encodeHeader(const Message &message)
{
    Writer writer;
    writer.number(magic, 1);
    writer.number(format, 1);
    writer.number(0, 2);
    writer.number(static_cast<std::uint64_t>(message.kind), 1);
    writer.number(message.leaving ? leavingFlag : 0, 1);
    writer.text(message.dataCentre.value());
    writer.text(message.sender.value());
    writer.number(message.incarnation.value(), 8);
    writer.number(message.lists.version.value(), 8);
    writer.number(message.lists.digest, 4);
    writer.number(message.viewDigest, 8);
    writer.number(message.sequence, 4);
    writer.text(message.target.value());
    writer.endpoint(message.targetHeartbeat);
    std::vector<std::uint8_t> bytes = writer.take();
    bytes[offsetPosition] = static_cast<std::uint8_t>(bytes.size() >> bitsPerByte);
    bytes[offsetPosition + 1] = static_cast<std::uint8_t>(bytes.size());
    bytes.push_back(0);
    return bytes;
}

std::vector<std::uint8_t> encodeUpdate(const MemberUpdate &update)
{
    Writer writer;
    writer.text(update.vm.value());
    writer.number(update.incarnation.value(), 8);
    writer.number(static_cast<std::uint64_t>(update.state), 1);
    writer.endpoint(update.endpoints.heartbeat);
    writer.endpoint(update.endpoints.callers);
    writer.endpoint(update.endpoints.peers);
    return writer.take();
}

bool appendUpdate(std::vector<std::uint8_t> &message, std::span<const std::uint8_t> update,
                  std::size_t limit)
{
    const std::size_t offset = (static_cast<std::size_t>(message[offsetPosition]) << bitsPerByte)
                               | message[offsetPosition + 1];
    if (message.size() + 2 + update.size() > limit || message[offset] == maximumUpdates)
        return false;
    ++message[offset];
    message.push_back(static_cast<std::uint8_t>(update.size() >> bitsPerByte));
    message.push_back(static_cast<std::uint8_t>(update.size()));
    message.insert(message.end(), update.begin(), update.end());
    return true;
}

Result<Message> decode(std::span<const std::uint8_t> bytes)
{
    Reader reader(bytes);
    if (reader.number(1) != magic)
        return malformed("not a membership datagram");
    if (reader.number(1) != format)
        return malformed("unknown datagram format");
    const std::uint64_t offset = reader.number(2);
    Message message;
    if (!decodeHeader(reader, message))
        return malformed("malformed header");
    if (offset > bytes.size())
        return malformed("offset of the updates is out of range");
    Reader updates(bytes.subspan(offset));
    if (!decodeUpdates(updates, message))
        return malformed("malformed update");
    return message;
}

} // namespace fescuespring::detail
