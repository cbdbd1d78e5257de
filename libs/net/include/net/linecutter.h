#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// Splits a stream of bytes into lines that end with a line feed. The buffer is bounded, so that a
// faulty peer cannot exhaust the memory.
class LineCutter
{
public:
    // Returns false if the buffered bytes exceed the limit.
    bool append(std::string_view bytes)
    {
        m_bytes.erase(0, m_start);
        m_start = 0;
        m_bytes += bytes;
        return m_bytes.size() <= maximumBufferedBytes;
    }

    // Returns the next complete line, valid until the next call of append() or next().
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
    static constexpr std::size_t maximumBufferedBytes = std::size_t{16} * 1024 * 1024;

    std::string m_bytes;
    std::size_t m_start = 0;
};

} // namespace fescuespring
