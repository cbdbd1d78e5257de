#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fescuespring::detail {

// The enumerator whose name stands at its place in names; nothing where no name matches. Enum
// counts from 0 without gaps.
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
