#pragma once

#include <string>
#include <vector>

namespace fescuespring {

// ", did you mean 'gold'?" for the one of names that is fewest edits away from name; empty where
// none is near enough to be meant.
std::string suggestion(const std::string &name, const std::vector<std::string> &names);

} // namespace fescuespring
