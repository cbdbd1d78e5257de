#pragma once

#include "base/result.h"
#include "base/strongtype.h"
#include "base/types.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
    Off,
};

// Lower-case names, as in settings.
const char *toString(LogLevel level);
std::optional<LogLevel> logLevelFromString(std::string_view text);

// Where a process logs and what.
struct LogOptions
{
    // Lines below this level are dropped.
    LogLevel level = LogLevel::Info;

    // File that lines are appended to; empty for a standard stream.
    std::string file = {};

    // Without a file: the standard output, which is never waited for, and not the standard error
    // stream.
    bool standardOutput = false;

    // Bound of the lines a second of each event; 0 for none. A line says how many of its event were
    // left out before it.
    std::uint32_t linesPerSecond = 0;

    // Pattern of a log4cplus PatternLayout: %D{..} the time in UTC, %p the level, %m the line.
    std::string layout = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n";
};

// One "key=value" of a line, made from the kinds of value that the project logs. Durations are
// written in milliseconds.
class LogField
{
public:
    LogField(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {}
    LogField(std::string_view key, const std::string &value)
        : m_key(key)
        , m_value(value)
    {}
    LogField(std::string_view key, const char *value)
        : m_key(key)
        , m_value(value)
    {}
    LogField(std::string_view key, bool value)
        : m_key(key)
        , m_value(value ? "yes" : "no")
    {}
    template <std::integral Whole>
    LogField(std::string_view key, Whole value)
        : m_key(key)
        , m_value(std::to_string(value))
    {}
    template <typename Tag>
    LogField(std::string_view key, const Name<Tag> &value)
        : m_key(key)
        , m_value(value.value())
    {}
    template <typename Tag>
    LogField(std::string_view key, const Number<Tag> &value)
        : m_key(key)
        , m_value(std::to_string(value.value()))
    {}
    template <typename Rep, typename Period>
    LogField(std::string_view key, std::chrono::duration<Rep, Period> value)
        : m_key(key)
        , m_value(std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(value).count()))
    {}
    LogField(std::string_view key, const Endpoint &value)
        : m_key(key)
        , m_value(value.ip + ':' + std::to_string(value.port))
    {}

    std::string_view key() const
    {
        return m_key;
    }
    const std::string &value() const
    {
        return m_value;
    }

private:
    std::string_view m_key;
    std::string m_value;
};

// Longest value of a field in a line, in bytes; the rest is cut off.
constexpr std::size_t maximumLoggedBytes = 512;

// "event=EVENT key=value ...". A value that holds a blank, a quote, an equals sign or a control
// character, or nothing, is quoted and escaped, so that input can neither start a line nor a field.
std::string logLine(std::string_view event, std::initializer_list<LogField> fields);

// The log of one process: one line for each change of state, counters for everything else.
//
//     Result<Log> log = Log::open({.level = LogLevel::Info});
//     log.value().info("primary-changed", {{"group", group}, {"term", term}});
//
// Any thread may write; lines are whole and flushed one by one. There is no global log: who logs is
// handed one, which must outlive it. Level, destination and layout stay as they were opened.
class Log
{
public:
    // Unavailable where the file cannot be appended to; the field is logging.file.
    static Result<Log> open(const LogOptions &options);

    Log(Log &&other) noexcept;
    Log &operator=(Log &&other) noexcept;
    ~Log();

    void debug(std::string_view event, std::initializer_list<LogField> fields = {});
    void info(std::string_view event, std::initializer_list<LogField> fields = {});
    void warning(std::string_view event, std::initializer_list<LogField> fields = {});
    void error(std::string_view event, std::initializer_list<LogField> fields = {});

private:
    struct Data;
    explicit Log(std::unique_ptr<Data> data);
    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
