#include "promotion/grouprecord.h"

#include <array>
#include <charconv>

namespace fescuespring {

namespace {

constexpr std::array phaseNames{"claimed", "stable"};

Error malformed(const std::string &name, int line)
{
    return Error{ErrorCode::Malformed, "invalid value for this field", name, line};
}

std::optional<std::uint64_t> numberFrom(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Removes and returns the part of text before the first separator; also removes the separator.
std::string_view takeUntil(std::string_view &text, char separator)
{
    const std::size_t end = text.find(separator);
    const std::string_view part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return part;
}

bool readStart(GroupRecord &record, std::string_view text)
{
    const auto term = numberFrom(takeUntil(text, ':'));
    const auto start = numberFrom(text);
    if (!term || !start)
        return false;
    record.history.push_back({Term(*term), LogPosition(*start)});
    return true;
}

bool readPhase(GroupRecord &record, std::string_view text)
{
    for (std::size_t i = 0; i < phaseNames.size(); ++i) {
        if (text != phaseNames[i])
            continue;
        record.phase = static_cast<RecordPhase>(i);
        return true;
    }
    return false;
}

bool readField(GroupRecord &record, std::string_view name, std::string_view value)
{
    if (name == "term" || name == "attempt") {
        const auto number = numberFrom(value);
        if (number && name == "term")
            record.term = Term(*number);
        else if (number)
            record.attempt = *number;
        return number.has_value();
    }
    if (name == "phase")
        return readPhase(record, value);
    if (name == "start")
        return readStart(record, value);
    if (name == "promoter")
        record.promoter = VmId(std::string(value));
    if (name == "primary")
        record.primary = DatabaseId(std::string(value));
    return true;
}

} // namespace

const char *toString(RecordPhase phase)
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

std::string encodeRecord(const GroupRecord &record)
{
    std::string text = "term " + std::to_string(record.term.value()) + "\n";
    text += "promoter " + record.promoter.value() + "\n";
    text += "attempt " + std::to_string(record.attempt) + "\n";
    text += std::string("phase ") + toString(record.phase) + "\n";
    text += "primary " + record.primary.value() + "\n";
    for (const TermStart &start : record.history) {
        text += "start " + std::to_string(start.term.value()) + ":"
                + std::to_string(start.start.value()) + "\n";
    }
    return text;
}

Result<GroupRecord> decodeRecord(std::string_view text)
{
    GroupRecord record;
    for (int line = 1; !text.empty(); ++line) {
        std::string_view value = takeUntil(text, '\n');
        const std::string_view name = takeUntil(value, ' ');
        if (!readField(record, name, value))
            return malformed(std::string(name), line);
    }
    if (record.term == Term())
        return Error{ErrorCode::MissingField, "record has no term", "term"};
    return record;
}

} // namespace fescuespring
