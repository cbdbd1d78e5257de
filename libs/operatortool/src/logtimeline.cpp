#include "logtimeline.h"

#include "leadership/leadershipview.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <sstream>

namespace fescuespring {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view failedEvent = "statement-failed";
constexpr std::string_view eventKey = "event=";

// Events about a VM's view of the store and of other VMs; relevant only for the statement's own VM.
constexpr std::array<std::string_view, 9> vmViewEvents{"store-lost",
                                                       "store-reached",
                                                       "feed-search-started",
                                                       "feed-followed",
                                                       "store-read-directly",
                                                       "relay-lost",
                                                       "cut-off-changed",
                                                       "started",
                                                       "stopping"};

std::optional<int> parseNumber(std::string_view text)
{
    int number = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc() || parsed != end)
        return std::nullopt;
    return number;
}

// Parses a timestamp such as "2026-12-04T08:59:38.318Z".
std::optional<LogTime> parseTimestamp(std::string_view word)
{
    constexpr std::size_t length = 24;
    if (word.size() != length || word[10] != 'T' || word.back() != 'Z')
        return std::nullopt;
    const auto year = parseNumber(word.substr(0, 4));
    const auto month = parseNumber(word.substr(5, 2));
    const auto day = parseNumber(word.substr(8, 2));
    const auto hour = parseNumber(word.substr(11, 2));
    const auto minute = parseNumber(word.substr(14, 2));
    const auto second = parseNumber(word.substr(17, 2));
    const auto fraction = parseNumber(word.substr(20, 3));
    if (!year || !month || !day || !hour || !minute || !second || !fraction)
        return std::nullopt;
    const std::chrono::year_month_day date{std::chrono::year(*year),
                                           std::chrono::month(static_cast<unsigned>(*month)),
                                           std::chrono::day(static_cast<unsigned>(*day))};
    if (!date.ok())
        return std::nullopt;
    return LogTime(std::chrono::sys_days(date)) + std::chrono::hours(*hour)
           + std::chrono::minutes(*minute) + std::chrono::seconds(*second)
           + milliseconds(*fraction);
}

// Parses fields of the form key=value or key="a value".
std::map<std::string, std::string> parseFields(std::string_view text)
{
    std::map<std::string, std::string> fields;
    while (!text.empty()) {
        const std::size_t equals = text.find('=');
        if (equals == std::string_view::npos)
            break;
        const std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        const bool isQuoted = text.starts_with('"');
        if (isQuoted)
            text.remove_prefix(1);
        const std::size_t end = text.find(isQuoted ? '"' : ' ');
        fields[key] = text.substr(0, end);
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
        while (text.starts_with(' '))
            text.remove_prefix(1);
    }
    return fields;
}

bool isRelated(const LogEvent &event, const LogEvent &reference,
               const std::set<std::string> &databases)
{
    const std::string group = event.field("group");
    if (event.event == failedEvent)
        return false;
    if (!group.empty() && group == reference.field("group"))
        return true;
    for (const char *name : {"database", "primary", "first"}) {
        if (databases.contains(event.field(name)))
            return true;
    }
    const bool isVmView = std::ranges::find(vmViewEvents, event.event) != vmViewEvents.end();
    return isVmView && event.vm == reference.vm;
}

} // namespace

std::string LogEvent::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::optional<LogEvent> parseLogLine(std::string_view line, const std::string &fileVm)
{
    const std::size_t start = line.find(eventKey);
    if (start == std::string_view::npos)
        return std::nullopt;
    LogEvent event{.vm = fileVm, .text = std::string(line.substr(start))};
    std::optional<LogTime> at;
    std::istringstream words{std::string(line.substr(0, start))};
    std::string word;
    std::string before;
    while (!at && words >> word) {
        at = parseTimestamp(word);
        if (!at)
            before = word;
    }
    if (!at)
        return std::nullopt;
    if (!before.empty())
        event.vm = before;
    event.at = *at;
    event.fields = parseFields(event.text);
    event.event = event.field("event");
    return event;
}

const LogEvent *LogTimeline::failure() const
{
    const LogEvent *last = nullptr;
    for (const std::size_t index : ownEvents) {
        if (events[index].event == failedEvent)
            last = &events[index];
    }
    return last;
}

LogTimeline buildTimeline(std::vector<LogEvent> events, const TimelineOptions &options)
{
    std::ranges::stable_sort(events, {}, &LogEvent::at);
    const auto isOwn = [&options](const LogEvent &event) {
        return event.field("id") == options.request;
    };
    LogTimeline timeline;
    const auto first = std::ranges::find_if(events, isOwn);
    if (first == events.end())
        return timeline;
    const LogEvent reference = *first;
    std::set<std::string> databases{reference.field("database"), reference.field("primary")};
    databases.erase("");
    for (LogEvent &event : events) {
        const bool isNear = event.at >= reference.at - options.before
                            && event.at <= reference.at + options.after;
        const bool own = isOwn(event);
        if (!own && (!isNear || !isRelated(event, reference, databases)))
            continue;
        if (own)
            timeline.ownEvents.push_back(timeline.events.size());
        timeline.events.push_back(std::move(event));
    }
    return timeline;
}

std::string describeFailure(const LogEvent &failure)
{
    const std::string reason = failure.field("reason");
    const int tries = parseNumber(failure.field("tries")).value_or(0);
    const milliseconds age(parseNumber(failure.field("records-age")).value_or(0));
    std::string text = reason + ": " + failure.field("message") + ". ";
    if (tries == 0)
        text += "It was never sent to a database. ";
    else
        text += "It was tried " + std::to_string(tries) + " times, last at "
                + failure.field("database") + ". ";
    if (reason == "in-doubt" || reason == "timeout")
        text += "It is unknown whether it ran; it was not retried. ";
    if (age > leadershipLease)
        text += "The VM's records were " + std::to_string(age.count())
                + " ms old, so it had no lease and needed confirmation by the group's databases. ";
    if (failure.field("moving") == "yes")
        text += "A change of primary was announced. ";
    return text;
}

} // namespace fescuespring
