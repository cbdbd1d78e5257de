#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace fescuespring::detail {

// Writes lines to a descriptor without blocking. If the reader does not keep up, lines are dropped,
// and their number is logged before the next line that can be written. Lines up to the atomic write
// size (4096 bytes on a pipe) are written completely or not at all.
class PipeAppender : public log4cplus::Appender
{
public:
    // Does not close the descriptor. Sets it to non-blocking if it is a pipe or a socket.
    explicit PipeAppender(int descriptor);
    ~PipeAppender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    int m_descriptor;
    std::uint64_t m_droppedLines = 0;
};

} // namespace fescuespring::detail
