#include "keys/keyring.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace fescuespring {

namespace {

constexpr std::size_t macSize = tokenSignatureSize - 1;

std::string truncatedMac(const Key &key, std::string_view payload)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(), mac.data(),
         &size);
    return std::string(reinterpret_cast<const char *>(mac.data()), macSize);
}

} // namespace

KeyRing::KeyRing(std::vector<Key> keys)
    : m_keys(std::move(keys))
{}

Result<KeyRing> KeyRing::create(std::vector<Key> keys)
{
    if (keys.empty())
        return Error{ErrorCode::InvalidField, "at least one key is required", "keys"};
    for (auto key = keys.begin(); key != keys.end(); ++key) {
        if (key->secret.size() < minimumKeySize)
            return Error{ErrorCode::InvalidField, "the secret is shorter than 16 bytes", "keys"};
        const bool isDuplicate = std::any_of(
                keys.begin(), key, [&](const Key &earlier) { return earlier.id == key->id; });
        if (isDuplicate)
            return Error{ErrorCode::InvalidField, "two keys have the same id", "keys"};
    }
    return KeyRing(std::move(keys));
}

std::string KeyRing::sign(std::string_view payload) const
{
    const Key &key = m_keys.front();
    return std::string(1, static_cast<char>(key.id)) + truncatedMac(key, payload);
}

bool KeyRing::verify(std::string_view payload, std::string_view signature) const
{
    if (signature.size() != tokenSignatureSize)
        return false;
    const auto id = static_cast<std::uint8_t>(signature.front());
    const auto key = std::find_if(m_keys.begin(), m_keys.end(),
                                  [&](const Key &candidate) { return candidate.id == id; });
    if (key == m_keys.end())
        return false;
    const std::string mac = truncatedMac(*key, payload);
    return CRYPTO_memcmp(mac.data(), signature.data() + 1, macSize) == 0;
}

TokenSigner KeyRing::tokenSigner() const
{
    return {.sign = [keys = *this](std::string_view payload) { return keys.sign(payload); },
            .verify =
                    [keys = *this](std::string_view payload, std::string_view signature) {
                        return keys.verify(payload, signature);
                    }};
}

} // namespace fescuespring
