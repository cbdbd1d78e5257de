#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// Cuts a stream of bytes into lines that end with a line feed. A line is bounded, so that a broken
// peer cannot fill the memory.
class LineCutter
{
public:
    // False once what waits to be cut is longer than the bound.
    bool append(std::string_view bytes)
    {
        m_bytes.erase(0, m_start);
        m_start = 0;
        m_bytes += bytes;
        return m_bytes.size() <= maximumBytes;
    }

    // The next whole line, valid until the next call to either function.
    std::optional<std::string_view> next()
    {
        const std::size_t end = m_bytes.find('\n', m_start);
        if (end == std::string::npos)
            return std::nullopt;
        const std::string_view line = std::string_view(m_bytes).substr(m_start, end - m_start);
        m_start = end + 1;
        return line;
    }

private:
    static constexpr std::size_t maximumBytes = std::size_t{16} * 1024 * 1024;

    std::string m_bytes;
    std::size_t m_start = 0;
};

} // namespace fescuespring
