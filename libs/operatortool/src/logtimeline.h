#pragma once

#include <chrono>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Timestamp of a log line, in milliseconds since 1970.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One line of a VM's log.
struct LogEvent
{
    LogTime at;

    // The VM: the word before the timestamp if there is one, else the name of the file.
    std::string vm;
    std::string event;

    // The fields after the event, without their quotes.
    std::map<std::string, std::string> fields;

    // The line from the event on, unchanged.
    std::string text;

    std::string field(const std::string &name) const;
};

// Nothing if the line is not a log line of a VM.
std::optional<LogEvent> parseLogLine(std::string_view line, const std::string &fileVm);

struct TimelineOptions
{
    std::string request;
    std::chrono::milliseconds before{10'000};
    std::chrono::milliseconds after{5'000};
};

// The log lines of several VMs that concern one statement, ordered by time: lines with its id,
// lines of any VM about its group and databases, and lines of its own VM about the store and other
// VMs.
struct LogTimeline
{
    // Indexes in `events` of the lines with the id of the statement.
    std::vector<std::size_t> ownEvents;
    std::vector<LogEvent> events;

    // The last line that reports how the statement failed; null if there is none.
    const LogEvent *failure() const;
};

LogTimeline buildTimeline(std::vector<LogEvent> events, const TimelineOptions &options);

// Describes why the statement failed, as far as its failure line shows.
std::string describeFailure(const LogEvent &failure);

} // namespace fescuespring
