#pragma once

#include "base/result.h"

#include <string>

namespace fescuespring {

// Whole files of text; errors name the file.
Result<std::string> readTextFile(const std::string &path);
Result<void> writeTextFile(const std::string &path, const std::string &text);

} // namespace fescuespring
