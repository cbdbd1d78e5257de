#pragma once

#include <string>
#include <vector>

namespace fescuespring {

// Returns ", did you mean 'gold'?" with the entry of names that has the smallest edit distance to
// name; empty if none is similar enough.
std::string suggestion(const std::string &name, const std::vector<std::string> &names);

} // namespace fescuespring
