#pragma once

#include <cstddef>

namespace fescuespring {

// What a decoder refuses before it looks at fields, so that one input costs bounded memory and
// stack. Text beyond a limit gives ErrorCode::TooLarge.
struct DecodeLimits
{
    // Longest text, in bytes.
    std::size_t bytes = std::size_t{256} * 1024;

    // Deepest nesting of objects and arrays; the outermost object is at depth 1.
    std::size_t depth = 16;
};

} // namespace fescuespring
