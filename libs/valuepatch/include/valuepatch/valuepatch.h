#pragma once

#include "base/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// The text that turns one version of a value into the next: small where the two have most in
// common, whatever their format. For values that change a little at a time and go to many VMs, such
// as the operator's configuration.
//
//     const auto patch = makePatch(before, after);
//     const Result<std::string> restored = applyPatch(before, *patch, limit);
//
// A patch is compressed with the older value as a dictionary and written in Base64, so that it fits
// into a line of JSON. It carries a checksum: applied to another value it fails. No state, any
// thread.

// Nothing where the library fails, for want of memory.
std::optional<std::string> makePatch(std::string_view before, std::string_view after);

// The newer value. Malformed where the text is no patch or is not one for this value, TooLarge
// where the result would be longer than maximumBytes.
Result<std::string> applyPatch(std::string_view before, std::string_view patch,
                               std::size_t maximumBytes);

} // namespace fescuespring
