#pragma once

#include "base/result.h"
#include "session/sessiontoken.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuespring {

// A signing key. All VMs have the same keys in their settings.
struct Key
{
    std::uint8_t id = 0;

    // At least minimumKeySize arbitrary bytes.
    std::string secret = {};
};

constexpr std::size_t minimumKeySize = 16;

// The keys that sign session tokens with HMAC-SHA256. The first key signs; all keys verify. To
// replace a key, first add the new key last on all VMs, then move it to the front. Immutable and
// thread-safe.
//
//     auto keys = KeyRing::create({{.id = 2, .secret = newSecret},
//                                  {.id = 1, .secret = oldSecret}});
//     const TokenSigner signer = keys.value().tokenSigner();
class KeyRing
{
public:
    // Fails with InvalidField if there is no key, an id is used twice, or a secret is too short.
    static Result<KeyRing> create(std::vector<Key> keys);

    // Returns the id of the first key and the truncated MAC of payload with that key.
    std::string sign(std::string_view payload) const;

    // Whether signature is valid for payload under any of the keys. The MAC comparison takes
    // constant time.
    bool verify(std::string_view payload, std::string_view signature) const;

    // Returns hooks with a copy of the keys.
    TokenSigner tokenSigner() const;

private:
    explicit KeyRing(std::vector<Key> keys);

    std::vector<Key> m_keys;
};

} // namespace fescuespring
