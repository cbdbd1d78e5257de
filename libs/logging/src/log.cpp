#include "logging/log.h"

#include "base/enumnames.h"
#include "lineratelimiter.h"
#include "pipeappender.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <array>
#include <fstream>
#include <mutex>

#include <unistd.h>

namespace fescuespring {

namespace {

constexpr std::array levelNames{"debug", "info", "warning", "error", "off"};

constexpr char firstPrintable = 0x20;
constexpr char deleteCharacter = 0x7f;

bool isControl(char character)
{
    return (character >= 0 && character < firstPrintable) || character == deleteCharacter;
}

bool needsQuotes(std::string_view value)
{
    for (const char character : value) {
        if (isControl(character) || character == ' ' || character == '"' || character == '=')
            return true;
    }
    return value.empty();
}

void appendEscaped(std::string &line, char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
    } else if (isControl(character)) {
        line += "\\x";
        line += digits[static_cast<std::size_t>(character) >> 4];
        line += digits[static_cast<std::size_t>(character) & 0xf];
    } else {
        line += character;
    }
}

void appendValue(std::string &line, std::string_view value)
{
    value = value.substr(0, maximumLoggedBytes);
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
        appendEscaped(line, character);
    line += '"';
}

log4cplus::LogLevel libraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    case LogLevel::Off:
        return log4cplus::OFF_LOG_LEVEL;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

bool canAppend(const std::string &file)
{
    return std::ofstream(file, std::ios::app).is_open();
}

log4cplus::SharedAppenderPtr makeAppender(const LogOptions &options)
{
    log4cplus::SharedAppenderPtr appender;
    if (options.file.empty() && options.standardOutput)
        appender = new detail::PipeAppender(STDOUT_FILENO);
    else if (options.file.empty())
        appender = new log4cplus::ConsoleAppender(true, true);
    else
        appender = new log4cplus::FileAppender(options.file, std::ios::app, true);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(options.layout));
    return appender;
}

} // namespace

const char *toString(LogLevel level)
{
    return levelNames[static_cast<std::size_t>(level)];
}

std::optional<LogLevel> logLevelFromString(std::string_view text)
{
    return detail::enumFromName<LogLevel>(levelNames, text);
}

std::string logLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key();
        line += '=';
        appendValue(line, field.value());
    }
    return line;
}

struct Log::Data
{
    explicit Data(std::uint32_t linesPerSecond)
        : limiter(linesPerSecond)
    {}

    log4cplus::Hierarchy hierarchy;
    log4cplus::Logger logger = hierarchy.getRoot();
    std::mutex mutex;
    detail::LineRateLimiter limiter;

    ~Data()
    {
        hierarchy.shutdown();
    }
};

Log::Log(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{}

Log::Log(Log &&other) noexcept = default;
Log &Log::operator=(Log &&other) noexcept = default;
Log::~Log() = default;

Result<Log> Log::open(const LogOptions &options)
{
    if (!options.file.empty() && !canAppend(options.file)) {
        return Error{.code = ErrorCode::Unavailable,
                     .message = "cannot append to '" + options.file + "'",
                     .field = "logging.file"};
    }
    auto data = std::make_unique<Data>(options.linesPerSecond);
    data->logger.addAppender(makeAppender(options));
    data->logger.setLogLevel(libraryLevel(options.level));
    return Log(std::move(data));
}

void Log::debug(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Debug, event, fields);
}

void Log::info(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Info, event, fields);
}

void Log::warning(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Warning, event, fields);
}

void Log::error(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Error, event, fields);
}

void Log::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const log4cplus::LogLevel lineLevel = libraryLevel(level);
    if (!m_data->logger.isEnabledFor(lineLevel))
        return;
    std::optional<std::uint64_t> suppressedLines;
    {
        const std::lock_guard lock(m_data->mutex);
        suppressedLines = m_data->limiter.admit(event, detail::LineRateLimiter::Clock::now());
    }
    if (!suppressedLines)
        return;
    std::string line = logLine(event, fields);
    if (*suppressedLines > 0)
        line += " left-out=" + std::to_string(*suppressedLines);
    m_data->logger.forcedLog(lineLevel, line);
}

} // namespace fescuespring
