#include "customers/keydigests.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::size_t digestBytes = 32;
constexpr std::size_t shownDigits = 8;
constexpr std::string_view digits = "0123456789abcdef";

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    std::array<unsigned char, digestBytes> digest{};
    if (EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1)
        return {};
    std::string text;
    text.reserve(2 * digestBytes);
    for (const unsigned byte : digest) {
        text += digits[byte / digits.size()];
        text += digits[byte % digits.size()];
    }
    return KeyDigest(std::move(text));
}

bool isKeyDigest(std::string_view text)
{
    return text.size() == 2 * digestBytes && std::ranges::all_of(text, [](char character) {
               return digits.find(character) != std::string_view::npos;
           });
}

std::string shortDigest(const KeyDigest &key)
{
    return key.value().substr(0, shownDigits);
}

} // namespace fescuespring
