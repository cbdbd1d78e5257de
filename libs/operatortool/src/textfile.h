#pragma once

#include "base/result.h"

#include <string>

namespace fescuespring {

// Read and write whole text files; errors contain the path.
Result<std::string> readTextFile(const std::string &path);
Result<void> writeTextFile(const std::string &path, const std::string &text);

} // namespace fescuespring
