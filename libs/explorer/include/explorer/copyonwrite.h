#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace fescuespring {

// A value that copies share until one of them changes it, for a search that copies whole states at
// each step and changes one part. Not thread-safe.
template <typename T>
class CopyOnWrite
{
public:
    explicit CopyOnWrite(T value)
        : m_shared(std::make_shared<Shared>(Shared{.value = std::move(value)}))
    {}

    const T &read() const
    {
        return m_shared->value;
    }

    // The value, no longer shared with other copies.
    T &write()
    {
        if (m_shared.use_count() > 1)
            m_shared = std::make_shared<Shared>(Shared{.value = m_shared->value});
        m_shared->fingerprint = 0;
        return m_shared->value;
    }

    // The result of compute for the value, cached for all copies that share it.
    template <typename Compute>
    std::uint64_t fingerprint(const Compute &compute) const
    {
        if (m_shared->fingerprint == 0)
            m_shared->fingerprint = compute(m_shared->value) | 1;
        return m_shared->fingerprint;
    }

private:
    struct Shared
    {
        T value;

        // 0 until computed.
        std::uint64_t fingerprint = 0;
    };

    std::shared_ptr<Shared> m_shared;
};

} // namespace fescuespring
