#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace fescuespring {

// Hash of a normalized statement, so that statements that differ only in their literals share one
// estimate of service time. Words that contain a digit, quoted text and runs of blanks are folded.
// Nothing is parsed; wrongly merged statements only make an estimate less accurate.
//
//     statementFingerprint("set cow-12 stall-3") == statementFingerprint("set cow-7 stall-11")
std::uint64_t statementFingerprint(std::string_view statement);

// Fingerprint of the statements of one transaction, in order.
std::uint64_t requestFingerprint(std::span<const std::string> statements);

} // namespace fescuespring
