#include "section.h"

#include "base/nearestname.h"

#include <algorithm>
#include <charconv>

namespace fescuespring::detail {

namespace {

constexpr std::size_t maximumNameBytes = 64;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '.' || character == '-'
           || character == '_';
}

template <typename T>
std::string fromTo(T minimum, T maximum)
{
    return "from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::optional<std::uint64_t> parseWhole(std::string_view text)
{
    std::uint64_t number = 0;
    const std::from_chars_result result =
            std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

Section::Section(const YAML::Node &node, std::string path, std::vector<Error> &errors)
    : m_path(std::move(path))
    , m_line(node.Mark().line + 1)
    , m_errors(errors)
{
    readEntries(node);
}

void Section::nameText(std::string_view field, std::string &target)
{
    text(field, target, {1, maximumNameBytes}, Presence::Required);
    if (!std::all_of(target.begin(), target.end(), isNameCharacter))
        refuse(field, "must be of letters, digits, '.', '-' and '_'");
}

void Section::text(std::string_view field, std::string &target, Range<std::size_t> bytes,
                   Presence presence)
{
    std::optional<std::string> found = scalar(field, presence);
    if (!found)
        return;
    if (found->size() < bytes.minimum || found->size() > bytes.maximum) {
        refuse(field, "must be " + fromTo(bytes.minimum, bytes.maximum) + " bytes long");
        return;
    }
    target = std::move(*found);
}

void Section::number(std::string_view field, std::uint32_t &target, Range<std::uint32_t> range,
                     Presence presence)
{
    if (const auto found = whole(field, {range.minimum, range.maximum}, presence))
        target = static_cast<std::uint32_t>(*found);
}

void Section::milliseconds(std::string_view field, std::chrono::milliseconds &target,
                           Range<std::chrono::milliseconds> range)
{
    const auto minimum = static_cast<std::uint64_t>(range.minimum.count());
    const auto maximum = static_cast<std::uint64_t>(range.maximum.count());
    if (const auto found = whole(field, {minimum, maximum}, Presence::Optional))
        target = std::chrono::milliseconds(*found);
}

void Section::section(std::string_view field, Presence presence,
                      const std::function<void(Section &)> &read)
{
    const Entry *found = find(field, presence);
    if (found)
        readItem(found->value, pathOf(field), read);
}

void Section::list(std::string_view field, const std::function<void(Section &)> &read,
                   Presence presence)
{
    const Entry *found = find(field, presence);
    if (!found)
        return;
    if (!found->value.IsSequence() || found->value.size() == 0) {
        refuse(field, "must be a list of at least one");
        return;
    }
    for (std::size_t i = 0; i < found->value.size(); ++i)
        readItem(found->value[i], pathOf(field) + '[' + std::to_string(i) + ']', read);
}

void Section::refuse(std::string_view field, std::string message, ErrorCode code)
{
    m_errors.push_back(Error{.code = code,
                             .message = std::move(message),
                             .field = pathOf(field),
                             .line = lineOf(field)});
}

void Section::refuseOthers()
{
    for (const Entry &entry : m_entries) {
        if (std::find(m_known.begin(), m_known.end(), entry.key) != m_known.end())
            continue;
        refuse(entry.key, "is not a known field" + suggestion(entry.key, m_known),
               ErrorCode::UnknownField);
    }
}

int Section::lineOf(std::string_view field) const
{
    const Entry *found = entry(field);
    return found ? found->line : m_line;
}

void Section::readEntries(const YAML::Node &node)
{
    for (const auto &pair : node) {
        const int line = pair.first.Mark().line + 1;
        if (!pair.first.IsScalar()) {
            refuse("", "a field name must be plain text, at line " + std::to_string(line));
            continue;
        }
        const std::string &key = pair.first.Scalar();
        if (entry(key))
            refuse(key, "stands twice, again at line " + std::to_string(line));
        else
            m_entries.push_back({.key = key, .value = pair.second, .line = line});
    }
}

const Section::Entry *Section::entry(std::string_view field) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [&](const Entry &entry) { return entry.key == field; });
    return found == m_entries.end() ? nullptr : &*found;
}

const Section::Entry *Section::find(std::string_view field, Presence presence)
{
    m_known.emplace_back(field);
    const Entry *found = entry(field);
    if (!found && presence == Presence::Required)
        refuse(field, "is missing", ErrorCode::MissingField);
    return found;
}

std::optional<std::string> Section::scalar(std::string_view field, Presence presence)
{
    const Entry *found = find(field, presence);
    if (!found)
        return std::nullopt;
    if (!found->value.IsScalar()) {
        refuse(field, "must be a single value");
        return std::nullopt;
    }
    return found->value.Scalar();
}

std::optional<std::uint64_t> Section::whole(std::string_view field, Range<std::uint64_t> range,
                                            Presence presence)
{
    const std::optional<std::string> text = scalar(field, presence);
    if (!text)
        return std::nullopt;
    const std::optional<std::uint64_t> number = parseWhole(*text);
    if (number && *number >= range.minimum && *number <= range.maximum)
        return number;
    refuse(field, "must be a whole number " + fromTo(range.minimum, range.maximum));
    return std::nullopt;
}

void Section::readItem(const YAML::Node &node, const std::string &field,
                       const std::function<void(Section &)> &read)
{
    if (!node.IsMap()) {
        m_errors.push_back(Error{.code = ErrorCode::InvalidField,
                                 .message = "must be a mapping of fields",
                                 .field = field,
                                 .line = node.Mark().line + 1});
        return;
    }
    Section section(node, field, m_errors);
    read(section);
    section.refuseOthers();
}

std::string Section::pathOf(std::string_view field) const
{
    if (m_path.empty())
        return std::string(field);
    if (field.empty())
        return m_path;
    return m_path + '.' + std::string(field);
}

} // namespace fescuespring::detail
