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
std::string rangeText(T minimum, T maximum)
{
    return "from " + std::to_string(minimum) + " to " + std::to_string(maximum);
}

std::optional<std::uint64_t> parseInteger(std::string_view text)
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
        addError(field, "must contain only letters, digits, '.', '-' and '_'");
}

void Section::text(std::string_view field, std::string &target, Range<std::size_t> bytes,
                   Presence presence)
{
    std::optional<std::string> found = scalar(field, presence);
    if (!found)
        return;
    if (found->size() < bytes.minimum || found->size() > bytes.maximum) {
        addError(field, "must be " + rangeText(bytes.minimum, bytes.maximum) + " bytes long");
        return;
    }
    target = std::move(*found);
}

void Section::number(std::string_view field, std::uint32_t &target, Range<std::uint32_t> range,
                     Presence presence)
{
    if (const auto found = integer(field, {range.minimum, range.maximum}, presence))
        target = static_cast<std::uint32_t>(*found);
}

void Section::boolean(std::string_view field, bool &target)
{
    const auto found = scalar(field, Presence::Optional);
    if (!found)
        return;
    if (*found == "true" || *found == "false")
        target = *found == "true";
    else
        addError(field, "must be true or false");
}

void Section::milliseconds(std::string_view field, std::chrono::milliseconds &target,
                           Range<std::chrono::milliseconds> range)
{
    const auto minimum = static_cast<std::uint64_t>(range.minimum.count());
    const auto maximum = static_cast<std::uint64_t>(range.maximum.count());
    if (const auto found = integer(field, {minimum, maximum}, Presence::Optional))
        target = std::chrono::milliseconds(*found);
}

void Section::seconds(std::string_view field, std::chrono::milliseconds &target,
                      Range<std::chrono::seconds> range)
{
    const auto minimum = static_cast<double>(range.minimum.count());
    const auto maximum = static_cast<double>(range.maximum.count());
    if (const auto found = fraction(field, {minimum, maximum}))
        target = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::duration<double>(*found));
}

void Section::real(std::string_view field, double &target, Range<double> range)
{
    target = fraction(field, range).value_or(target);
}

std::optional<double> Section::fraction(std::string_view field, Range<double> range)
{
    const auto found = scalar(field, Presence::Optional);
    if (!found)
        return std::nullopt;
    double number = 0;
    const char *end = found->data() + found->size();
    const auto [parsed, error] = std::from_chars(found->data(), end, number);
    // Also false for a number that is none.
    const bool isInRange = number >= range.minimum && number <= range.maximum;
    if (error == std::errc() && parsed == end && isInRange)
        return number;
    addError(field, "must be a number "
                            + rangeText(static_cast<std::uint64_t>(range.minimum),
                                        static_cast<std::uint64_t>(range.maximum)));
    return std::nullopt;
}

void Section::section(std::string_view field, Presence presence,
                      const std::function<void(Section &)> &read)
{
    const Entry *found = find(field, presence);
    if (found)
        readMapping(found->value, pathOf(field), read);
}

void Section::list(std::string_view field, const std::function<void(Section &)> &read,
                   Presence presence)
{
    const Entry *found = find(field, presence);
    if (!found)
        return;
    if (!found->value.IsSequence() || found->value.size() == 0) {
        addError(field, "must be a list with at least one item");
        return;
    }
    for (std::size_t i = 0; i < found->value.size(); ++i)
        readMapping(found->value[i], pathOf(field) + '[' + std::to_string(i) + ']', read);
}

void Section::addError(std::string_view field, std::string message, ErrorCode code)
{
    m_errors.push_back(Error{.code = code,
                             .message = std::move(message),
                             .field = pathOf(field),
                             .line = lineOf(field)});
}

void Section::rejectUnknownFields()
{
    for (const Entry &entry : m_entries) {
        if (std::find(m_knownFields.begin(), m_knownFields.end(), entry.key) != m_knownFields.end())
            continue;
        addError(entry.key, "is not a known field" + suggestion(entry.key, m_knownFields),
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
            addError("", "a field name must be plain text, at line " + std::to_string(line));
            continue;
        }
        const std::string &key = pair.first.Scalar();
        if (entry(key))
            addError(key, "is a duplicate field, again at line " + std::to_string(line));
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
    m_knownFields.emplace_back(field);
    const Entry *found = entry(field);
    if (!found && presence == Presence::Required)
        addError(field, "is missing", ErrorCode::MissingField);
    return found;
}

std::optional<std::string> Section::scalar(std::string_view field, Presence presence)
{
    const Entry *found = find(field, presence);
    if (!found)
        return std::nullopt;
    if (!found->value.IsScalar()) {
        addError(field, "must be a single value");
        return std::nullopt;
    }
    return found->value.Scalar();
}

std::optional<std::uint64_t> Section::integer(std::string_view field, Range<std::uint64_t> range,
                                              Presence presence)
{
    const std::optional<std::string> text = scalar(field, presence);
    if (!text)
        return std::nullopt;
    const std::optional<std::uint64_t> number = parseInteger(*text);
    if (number && *number >= range.minimum && *number <= range.maximum)
        return number;
    addError(field, "must be a whole number " + rangeText(range.minimum, range.maximum));
    return std::nullopt;
}

void Section::readMapping(const YAML::Node &node, const std::string &field,
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
    section.rejectUnknownFields();
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
