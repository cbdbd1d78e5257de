#include "pipeappender.h"

#include <log4cplus/layout.h>

#include <sstream>
#include <string>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace fescuespring::detail {

PipeAppender::PipeAppender(int descriptor)
    : m_descriptor(descriptor)
{
    struct stat status
    {};
    const bool isStream = fstat(descriptor, &status) == 0
                          && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
    if (isStream)
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

PipeAppender::~PipeAppender()
{
    destructorImpl();
}

void PipeAppender::close()
{
    closed = true;
}

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream line;
    if (m_droppedLines > 0)
        line << "event=log-lines-lost count=" << m_droppedLines << '\n';
    layout->formatAndAppend(line, event);
    const std::string text = line.str();
    const ssize_t written = ::write(m_descriptor, text.data(), text.size());
    if (written == static_cast<ssize_t>(text.size()))
        m_droppedLines = 0;
    else
        ++m_droppedLines;
}

} // namespace fescuespring::detail
