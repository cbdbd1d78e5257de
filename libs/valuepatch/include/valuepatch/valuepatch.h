#pragma once

#include "base/result.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// A patch is a text that turns one version of a value into the next. It is small if the two have
// most in common, whatever their format. For values that change in small steps and are sent to many
// VMs, such as the operator's configuration.
//
//     const auto patch = makePatch(before, after);
//     const Result<std::string> restored = applyPatch(before, *patch, limit);
//
// The text is the new value, compressed with the old one as a dictionary and encoded in Base64 so
// that it fits into a line of JSON. It contains a checksum, so that applying it to another value
// fails. Stateless and thread-safe.

// Nothing if the compression library fails, such as for lack of memory.
std::optional<std::string> makePatch(std::string_view before, std::string_view after);

// Returns the new value. Fails with Malformed if the text is not a patch for this value, and with
// TooLarge if the result would be longer than maximumBytes.
Result<std::string> applyPatch(std::string_view before, std::string_view patch,
                               std::size_t maximumBytes);

} // namespace fescuespring
