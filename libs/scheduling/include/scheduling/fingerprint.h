#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace fescuespring {

// Hash of the shape of a statement, so that statements that differ only in their literals share
// one estimate of service time. Words with a digit in them, quoted text and runs of blanks are
// folded; nothing is parsed, and a wrong fold only blurs an estimate.
//
//     statementFingerprint("set cow-12 stall-3") == statementFingerprint("set cow-7 stall-11")
std::uint64_t statementFingerprint(std::string_view statement);

// Fingerprint of the statements of one transaction in order.
std::uint64_t requestFingerprint(std::span<const std::string> statements);

} // namespace fescuespring
