#pragma once

#include <string>
#include <vector>

namespace fescuespring::detail {

// ", did you mean 'gold'?" for the nearest of names; empty where none is near.
std::string suggestion(const std::string &name, const std::vector<std::string> &names);

} // namespace fescuespring::detail
