#pragma once

#include "base/result.h"
#include "session/sessiontoken.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// One key of the VMs; all VMs are given the same ones in their settings.
struct Key
{
    std::uint8_t id = 0;

    // Any bytes, at least minimumKeySize of them.
    std::string secret = {};
};

constexpr std::size_t minimumKeySize = 16;

// The keys that sign session tokens by HMAC-SHA256. The first signs, all verify, so that a key is
// replaced in two steps: add the new one last everywhere, then move it first. Immutable; any thread
// may use it.
//
//     auto keys = KeyRing::create({{.id = 2, .secret = newSecret}, {.id = 1, .secret =
//     oldSecret}}); const TokenSigner signer = keys.value().tokenSigner();
class KeyRing
{
public:
    // InvalidField for no key, two of one id, or a secret that is too short.
    static Result<KeyRing> create(std::vector<Key> keys);

    // Key id and truncated MAC of payload under the first key.
    std::string sign(std::string_view payload) const;

    // Whether sign of any of the keys wrote signature for payload; takes the same time for every
    // signature of the right length and key.
    bool verify(std::string_view payload, std::string_view signature) const;

    // Hooks that hold a copy of the keys.
    TokenSigner tokenSigner() const;

private:
    explicit KeyRing(std::vector<Key> keys);

    std::vector<Key> m_keys;
};

} // namespace fescuespring
