#pragma once

#include <chrono>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Time of day that a line of a log was written at, in milliseconds since 1970.
using LogTime = std::chrono::sys_time<std::chrono::milliseconds>;

// One line of a VM's log.
struct LogEvent
{
    LogTime at;

    // The VM, by the word before the time if there is one, else by the name of the file.
    std::string vm;
    std::string event;

    // The fields after the event, without their quotes.
    std::map<std::string, std::string> fields;

    // All from the event on, as it was written.
    std::string text;

    std::string field(const std::string &name) const;
};

// Nothing for a line that is none of a log.
std::optional<LogEvent> parseLogLine(std::string_view line, const std::string &fileVm);

struct StoryOptions
{
    std::string request;
    std::chrono::milliseconds before{10'000};
    std::chrono::milliseconds after{5'000};
};

// What the logs of several VMs tell of one statement, in the order of time: the lines that name its
// id; of its group and of the databases concerned what any VM came to believe; and what its VM came
// to believe of the store and of the other VMs.
struct LogStory
{
    // Places in `events` of the lines that name the id.
    std::vector<std::size_t> own;
    std::vector<LogEvent> events;

    // The line that says how the statement failed; null where no line does.
    const LogEvent *deciding() const;
};

LogStory tellStory(std::vector<LogEvent> events, const StoryOptions &options);

// Why the statement failed, as far as the deciding line shows, in a sentence or two.
std::string verdictOf(const LogEvent &deciding);

} // namespace fescuespring
