#pragma once

#include "customers/customer.h"

#include <string_view>

namespace fescuespring {

// Longest API key in bytes that identifies a customer.
constexpr std::size_t maximumKeyBytes = 4096;

// The digest of an API key as a caller sends it or a configuration lists it.
//
//     const Customer *customer = table.findByKey(digestOfKey(key));
KeyDigest digestOfKey(std::string_view key);

// Whether a text can be a digest: 64 lower-case hexadecimal digits.
bool isKeyDigest(std::string_view text);

// The first 8 digits of a digest, for log lines.
std::string shortDigest(const KeyDigest &key);

} // namespace fescuespring
