#include "mutation.h"

#include <array>
#include <string_view>

namespace fescuespring {

namespace {

constexpr std::array<std::string_view, 16> marks{
        "{",  "}",  "[",    "]",    "\"", ":",  ",",    "\\u0000",
        "-1", "0.", "1e99", "null", "&a", "*a", "\n  ", "18446744073709551616"};

constexpr std::size_t longestRun = 12;
constexpr std::size_t mostChanges = 4;

} // namespace

Mutation::Mutation(std::uint32_t seed)
    : m_random(seed)
{}

std::string Mutation::mutated(std::string text)
{
    const std::size_t changes = 1 + below(mostChanges);
    for (std::size_t i = 0; i < changes && !text.empty(); ++i)
        change(text);
    return text;
}

std::string Mutation::nested(std::string text, std::size_t depth)
{
    const bool isArray = below(2) == 0;
    std::string opening;
    for (std::size_t i = 0; i < depth; ++i)
        opening += isArray ? "[" : "{\"a\":";
    return text.insert(text.find(':') + 1, opening);
}

void Mutation::change(std::string &text)
{
    const std::size_t place = below(text.size());
    switch (below(4)) {
    case 0:
        text[place] = static_cast<char>(m_random());
        break;
    case 1:
        text.erase(place, below(longestRun));
        break;
    case 2:
        text.insert(below(text.size()), text.substr(place, below(longestRun)));
        break;
    default:
        text.insert(place, marks[below(marks.size())]);
    }
}

std::size_t Mutation::below(std::size_t bound)
{
    return bound == 0 ? 0 : m_random() % bound;
}

} // namespace fescuespring
