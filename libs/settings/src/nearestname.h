#pragma once

#include <string_view>
#include <vector>

namespace fescuespring::detail {

// The name that is fewest edits away from text; empty where none is near enough to be meant.
std::string_view nearestName(std::string_view text, const std::vector<std::string_view> &names);

} // namespace fescuespring::detail
