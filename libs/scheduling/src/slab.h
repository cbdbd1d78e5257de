#pragma once

#include <cstdint>
#include <vector>

namespace fescuespring::detail {

constexpr std::uint32_t noIndex = 0xffffffff;

// Objects by index. Freed indices are reused.
template <typename T>
class Slab
{
public:
    std::uint32_t allocate()
    {
        if (m_free.empty()) {
            m_objects.emplace_back();
            return static_cast<std::uint32_t>(m_objects.size() - 1);
        }
        const std::uint32_t index = m_free.back();
        m_free.pop_back();
        return index;
    }
    void free(std::uint32_t index)
    {
        m_free.push_back(index);
    }

    T &operator[](std::uint32_t index)
    {
        return m_objects[index];
    }
    const T &operator[](std::uint32_t index) const
    {
        return m_objects[index];
    }

    // Upper bound of all indices.
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(m_objects.size());
    }

private:
    std::vector<T> m_objects;
    std::vector<std::uint32_t> m_free;
};

} // namespace fescuespring::detail
