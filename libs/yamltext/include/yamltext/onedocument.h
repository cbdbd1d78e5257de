#pragma once

#include "base/result.h"

#include <string>

namespace fescuespring {

// Whether text is exactly one YAML document, whole and right in itself. yaml-cpp's Load() passes
// over what follows the first document, and its LoadAll() never comes back from some broken texts;
// a text that was checked here can be loaded by Load() and nothing of it is lost.
//
//     if (const Result<void> checked = checkOneDocument(text); !checked)
//         return checked.error();
//     const YAML::Node top = YAML::Load(text);
//
// Malformed, with the line, for text that is no YAML, empty, or goes on after its document. Does
// not throw.
Result<void> checkOneDocument(const std::string &text);

} // namespace fescuespring
