#pragma once

#include <cstddef>

namespace fescuespring {

// Limits that a decoder checks before it reads fields, to bound the memory and stack for one input.
// Text beyond a limit fails with ErrorCode::TooLarge.
struct DecodeLimits
{
    // Maximum length of the text.
    std::size_t bytes = std::size_t{256} * 1024;

    // Maximum nesting of objects and arrays; the outermost object has depth 1.
    std::size_t depth = 16;
};

} // namespace fescuespring
