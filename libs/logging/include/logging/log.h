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

// Destination, level and format of a process's log.
struct LogOptions
{
    // Lines below this level are dropped.
    LogLevel level = LogLevel::Info;

    // File to append to. If empty, lines go to a standard stream.
    std::string file = {};

    // Without a file: log to standard output, without blocking, instead of standard error.
    bool standardOutput = false;

    // Maximum number of lines per second for each event; 0 for no limit. After suppressed lines,
    // the next line of the event has their number in the field left-out.
    std::uint32_t linesPerSecond = 0;

    // Pattern of a log4cplus PatternLayout: %D{..} is the time in UTC, %p the level, %m the
    // message.
    std::string layout = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n";
};

// A "key=value" field of a line. Durations are written in milliseconds.
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

// Longer values are truncated to this many bytes.
constexpr std::size_t maximumLoggedBytes = 512;

// Formats a line as "event=EVENT key=value ...". Empty values, and values that contain a space, a
// quote, an equals sign or a control character, are quoted and escaped, so that input cannot inject
// a line or a field.
std::string logLine(std::string_view event, std::initializer_list<LogField> fields);

// The log of a process. Changes of state are logged; everything else is counted.
//
//     Result<Log> log = Log::open({.level = LogLevel::Info});
//     log.value().info("primary-changed", {{"group", group}, {"term", term}});
//
// Thread-safe. Lines are not interleaved, and each is flushed. There is no global log: classes that
// log are passed one, which must outlive them. Level, destination and layout cannot be changed.
class Log
{
public:
    // Fails with Unavailable and the field logging.file if the file cannot be appended to.
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
