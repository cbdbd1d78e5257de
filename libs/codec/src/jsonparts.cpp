#include "codec/jsonparts.h"

#include <algorithm>

namespace fescuespring {

namespace {

constexpr std::string_view blanks = " \t\r\n";

// Cuts the parts of one object or array, from the first to the last.
class PartCutter
{
public:
    explicit PartCutter(std::string_view text)
        : m_text(text)
    {}

    // Whether the next character, after blanks, is the expected one; it is taken if so.
    bool take(char expected)
    {
        skipBlanks();
        if (m_position >= m_text.size() || m_text[m_position] != expected)
            return false;
        ++m_position;
        return true;
    }

    bool isAtEnd()
    {
        skipBlanks();
        return m_position == m_text.size();
    }

    // The text within the quotes of a string.
    std::optional<std::string_view> takeString()
    {
        skipBlanks();
        const std::size_t start = m_position;
        if (!skipString())
            return std::nullopt;
        return m_text.substr(start + 1, m_position - start - 2);
    }

    // The text up to the next comma or closing bracket that does not belong to it.
    std::optional<std::string_view> takeValue()
    {
        skipBlanks();
        const std::size_t start = m_position;
        std::size_t depth = 0;
        while (m_position < m_text.size()) {
            const char next = m_text[m_position];
            if (next == '"') {
                if (!skipString())
                    return std::nullopt;
                continue;
            }
            const bool closes = next == ']' || next == '}';
            if (depth == 0 && (closes || next == ','))
                return trimmed(m_text.substr(start, m_position - start));
            if (next == '[' || next == '{')
                ++depth;
            else if (closes)
                --depth;
            ++m_position;
        }
        return std::nullopt;
    }

private:
    void skipBlanks()
    {
        m_position = std::min(m_text.find_first_not_of(blanks, m_position), m_text.size());
    }

    // Skips a string and its quotes; false if there is none, or if it does not end.
    bool skipString()
    {
        if (m_position >= m_text.size() || m_text[m_position] != '"')
            return false;
        for (++m_position; m_position < m_text.size(); ++m_position) {
            if (m_text[m_position] == '\\')
                ++m_position;
            else if (m_text[m_position] == '"') {
                ++m_position;
                return true;
            }
        }
        return false;
    }

    static std::string_view trimmed(std::string_view text)
    {
        return text.substr(0, text.find_last_not_of(blanks) + 1);
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

// Cuts parts between the brackets, separated by commas; takePart cuts one and returns whether it is
// complete.
template <typename TakePart>
bool cutAll(PartCutter &cutter, char open, char close, TakePart takePart)
{
    if (!cutter.take(open))
        return false;
    if (cutter.take(close))
        return cutter.isAtEnd();
    do {
        if (!takePart())
            return false;
    } while (cutter.take(','));
    return cutter.take(close) && cutter.isAtEnd();
}

} // namespace

std::optional<std::vector<JsonMember>> jsonMembers(std::string_view text)
{
    PartCutter cutter(text);
    std::vector<JsonMember> members;
    const bool isObject = cutAll(cutter, '{', '}', [&] {
        const auto name = cutter.takeString();
        if (!name || !cutter.take(':'))
            return false;
        const auto value = cutter.takeValue();
        if (value)
            members.push_back({*name, *value});
        return value.has_value();
    });
    return isObject ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> jsonElements(std::string_view text)
{
    PartCutter cutter(text);
    std::vector<std::string_view> elements;
    const bool isArray = cutAll(cutter, '[', ']', [&] {
        const auto element = cutter.takeValue();
        if (element)
            elements.push_back(*element);
        return element.has_value();
    });
    return isArray ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view memberText(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found =
            std::find_if(members.rbegin(), members.rend(),
                         [name](const JsonMember &member) { return member.name == name; });
    return found == members.rend() ? std::string_view() : found->value;
}

} // namespace fescuespring
