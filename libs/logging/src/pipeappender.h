#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace fescuespring::detail {

// Writes lines to a descriptor without ever waiting: where the reader does not keep up, lines are
// left out, and the next that goes through says how many. A line goes out whole or not at all, as
// long as it is no longer than the system writes at once (4096 bytes on a pipe).
class PipeAppender : public log4cplus::Appender
{
public:
    // The descriptor stays open; it is made non-blocking if it is a pipe or socket.
    explicit PipeAppender(int descriptor);
    ~PipeAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    int m_descriptor;
    std::uint64_t m_leftOut = 0;
};

} // namespace fescuespring::detail
