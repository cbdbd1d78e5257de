#include "logstory.h"

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

// What a VM believes of the rest of the world; of interest at the VM that the statement came to.
constexpr std::array<std::string_view, 9> surroundings{"store-lost",
                                                       "store-reached",
                                                       "feed-search-started",
                                                       "feed-followed",
                                                       "store-read-directly",
                                                       "relay-lost",
                                                       "cut-off-changed",
                                                       "started",
                                                       "stopping"};

std::optional<int> numberOf(std::string_view text)
{
    int number = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc() || parsed != end)
        return std::nullopt;
    return number;
}

// "2026-12-04T08:59:38.318Z".
std::optional<LogTime> timeOf(std::string_view word)
{
    constexpr std::size_t length = 24;
    if (word.size() != length || word[10] != 'T' || word.back() != 'Z')
        return std::nullopt;
    const auto year = numberOf(word.substr(0, 4));
    const auto month = numberOf(word.substr(5, 2));
    const auto day = numberOf(word.substr(8, 2));
    const auto hour = numberOf(word.substr(11, 2));
    const auto minute = numberOf(word.substr(14, 2));
    const auto second = numberOf(word.substr(17, 2));
    const auto fraction = numberOf(word.substr(20, 3));
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

// The fields key=value or key="a value" of a text.
std::map<std::string, std::string> fieldsOf(std::string_view text)
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

bool concerns(const LogEvent &event, const LogEvent &deciding,
              const std::set<std::string> &databases)
{
    const std::string group = event.field("group");
    if (event.event == failedEvent)
        return false;
    if (!group.empty() && group == deciding.field("group"))
        return true;
    for (const char *name : {"database", "primary", "first"}) {
        if (databases.contains(event.field(name)))
            return true;
    }
    const bool isAround = std::ranges::find(surroundings, event.event) != surroundings.end();
    return isAround && event.vm == deciding.vm;
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
        at = timeOf(word);
        if (!at)
            before = word;
    }
    if (!at)
        return std::nullopt;
    if (!before.empty())
        event.vm = before;
    event.at = *at;
    event.fields = fieldsOf(event.text);
    event.event = event.field("event");
    return event;
}

const LogEvent *LogStory::deciding() const
{
    const LogEvent *last = nullptr;
    for (const std::size_t place : own) {
        if (events[place].event == failedEvent)
            last = &events[place];
    }
    return last;
}

LogStory tellStory(std::vector<LogEvent> events, const StoryOptions &options)
{
    std::ranges::stable_sort(events, {}, &LogEvent::at);
    const auto isOwn = [&options](const LogEvent &event) {
        return event.field("id") == options.request;
    };
    LogStory story;
    const auto first = std::ranges::find_if(events, isOwn);
    if (first == events.end())
        return story;
    const LogEvent deciding = *first;
    std::set<std::string> databases{deciding.field("database"), deciding.field("primary")};
    databases.erase("");
    for (LogEvent &event : events) {
        const bool isNear =
                event.at >= deciding.at - options.before && event.at <= deciding.at + options.after;
        const bool own = isOwn(event);
        if (!own && (!isNear || !concerns(event, deciding, databases)))
            continue;
        if (own)
            story.own.push_back(story.events.size());
        story.events.push_back(std::move(event));
    }
    return story;
}

std::string verdictOf(const LogEvent &deciding)
{
    const std::string reason = deciding.field("reason");
    const int tries = numberOf(deciding.field("tries")).value_or(0);
    const milliseconds age(numberOf(deciding.field("records-age")).value_or(0));
    std::string text = reason + ": " + deciding.field("message") + ". ";
    if (tries == 0)
        text += "It was never sent to a database. ";
    else
        text += "It was tried " + std::to_string(tries) + " times, last at "
                + deciding.field("database") + ". ";
    if (reason == "in-doubt" || reason == "timeout")
        text += "Whether it ran is not known; it was not repeated. ";
    if (age > leadershipLease)
        text += "The VM's records were " + std::to_string(age.count())
                + " ms old, so it had no lease and needed the word of the group's databases. ";
    if (deciding.field("moving") == "yes")
        text += "A change of primary was announced. ";
    return text;
}

} // namespace fescuespring
