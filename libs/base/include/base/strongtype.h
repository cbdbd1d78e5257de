#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fescuespring {

// A name that cannot be mistaken for another kind of name. Tag is an incomplete type that is used
// for nothing else. Cheap to compare, usable as a key of ordered and unordered containers.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const
    {
        return m_value;
    }
    bool isEmpty() const
    {
        return m_value.empty();
    }

    // The check takes the 0 that a comparison stands for as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Name &) const = default;

private:
    std::string m_value;
};

// A whole number that cannot be mistaken for another kind of number.
template <typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {}

    constexpr std::uint64_t value() const
    {
        return m_value;
    }
    constexpr Number next() const
    {
        return Number(m_value + 1);
    }

    // The check takes the 0 that a comparison stands for as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    constexpr auto operator<=>(const Number &) const = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace fescuespring

template <typename Tag>
struct std::hash<fescuespring::Name<Tag>>
{
    std::size_t operator()(const fescuespring::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.value());
    }
};

template <typename Tag>
struct std::hash<fescuespring::Number<Tag>>
{
    std::size_t operator()(const fescuespring::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t>()(number.value());
    }
};
