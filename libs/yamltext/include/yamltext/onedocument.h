#pragma once

#include "base/result.h"

#include <string>

namespace fescuespring {

// Checks that text is exactly one complete, valid YAML document. yaml-cpp's Load() ignores what
// follows the first document, and its LoadAll() never returns for some invalid texts; after this
// check Load() reads all of text.
//
//     if (const Result<void> checked = checkOneDocument(text); !checked)
//         return checked.error();
//     const YAML::Node top = YAML::Load(text);
//
// Fails with Malformed and the line if text is invalid YAML, empty, or continues after its first
// document. Does not throw.
Result<void> checkOneDocument(const std::string &text);

} // namespace fescuespring
