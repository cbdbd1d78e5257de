#pragma once

#include <cstdint>
#include <memory>
#include <utility>

namespace fescuespring {

// A value that copies share until one of them changes it. A search copies whole states at each step
// and changes one part. One thread only.
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

    // The value, shared with no other copy from now on.
    T &write()
    {
        if (m_shared.use_count() > 1)
            m_shared = std::make_shared<Shared>(Shared{.value = m_shared->value});
        m_shared->print = 0;
        return m_shared->value;
    }

    // What print makes of the value; worked out once for all copies that share it.
    template <typename Print>
    std::uint64_t fingerprint(const Print &print) const
    {
        if (m_shared->print == 0)
            m_shared->print = print(m_shared->value) | 1;
        return m_shared->print;
    }

private:
    struct Shared
    {
        T value;

        // 0 until worked out.
        std::uint64_t print = 0;
    };

    std::shared_ptr<Shared> m_shared;
};

} // namespace fescuespring
