#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fescuespring::detail {

// Returns the enumerator whose name is text, or nullopt. names[i] is the name of the enumerator
// with value i; the values of Enum start at 0 and have no gaps.
template <typename Enum, std::size_t size>
std::optional<Enum> enumFromName(const std::array<const char *, size> &names, std::string_view text)
{
    for (std::size_t i = 0; i < size; ++i) {
        if (text == names[i])
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

} // namespace fescuespring::detail
