#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace fescuespring {

// A string identifier with a type of its own, so that different kinds of names cannot be mixed up.
// Tag is an incomplete type that is used for nothing else. Usable as a key of ordered and unordered
// containers.
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

    // clang-tidy mistakes the 0 of the defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Name &) const = default;

private:
    std::string m_value;
};

// An unsigned integer with a type of its own, so that different kinds of numbers cannot be mixed
// up.
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

    // clang-tidy mistakes the 0 of the defaulted comparison for a null pointer.
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
