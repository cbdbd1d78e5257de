#include "commands.h"

#include "logtimeline.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace fescuespring {

namespace {

Result<std::vector<LogEvent>> readLogs(const std::vector<std::string> &files)
{
    std::vector<LogEvent> events;
    for (const std::string &file : files) {
        std::ifstream input(file);
        if (!input)
            return Error{ErrorCode::NotFound, "cannot read '" + file + "'", "logs"};
        const std::string vm = std::filesystem::path(file).stem().string();
        std::string line;
        while (std::getline(input, line)) {
            std::optional<LogEvent> event = parseLogLine(line, vm);
            if (event)
                events.push_back(std::move(*event));
        }
    }
    return events;
}

bool isOwn(const LogTimeline &timeline, std::size_t index)
{
    return std::ranges::find(timeline.ownEvents, index) != timeline.ownEvents.end();
}

void printTimeline(const LogTimeline &timeline, std::ostream &out)
{
    const LogTime origin = timeline.events[timeline.ownEvents.front()].at;
    for (std::size_t i = 0; i < timeline.events.size(); ++i) {
        const LogEvent &event = timeline.events[i];
        out << (isOwn(timeline, i) ? "> " : "  ") << (event.at - origin).count() << " ms  "
            << event.vm << "  " << event.text << '\n';
    }
    if (const LogEvent *failure = timeline.failure())
        out << "\nAt " << failure->vm << ", " << describeFailure(*failure) << '\n';
    else
        out << "\nNo line reports that the statement failed.\n";
}

void printJson(const LogTimeline &timeline, std::ostream &out)
{
    boost::json::array events;
    for (std::size_t i = 0; i < timeline.events.size(); ++i) {
        const LogEvent &event = timeline.events[i];
        events.push_back(boost::json::object{{"at", event.at.time_since_epoch().count()},
                                             {"vm", event.vm},
                                             {"own", isOwn(timeline, i)},
                                             {"line", event.text}});
    }
    const LogEvent *failure = timeline.failure();
    out << boost::json::serialize(boost::json::object{
            {"events", std::move(events)}, {"verdict", failure ? describeFailure(*failure) : ""}})
        << '\n';
}

} // namespace

ToolOutcome runExplain(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("explain", "Merges the log lines of several VMs into the timeline of one "
                                   "statement and shows how it failed.");
    arguments.option("request", "id of the statement");
    arguments.option("before-ms", "time before the statement to include", "10000");
    arguments.option("after-ms", "time after the statement to include", "5000");
    arguments.words("logs", "files with the standard output of the VMs");
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    const Result<std::chrono::milliseconds> before = arguments.milliseconds("before-ms");
    const Result<std::chrono::milliseconds> after = arguments.milliseconds("after-ms");
    if (!before || !after)
        return reportUsageError(before ? after.error() : before.error(), streams);
    const std::string request = arguments.value("request");
    const std::vector<std::string> files = arguments.values("logs");
    if (request.empty() || files.empty())
        return reportUsageError({.message = "needs --request ID and log files"}, streams);
    Result<std::vector<LogEvent>> events = readLogs(files);
    if (!events)
        return reportUsageError(events.error(), streams);
    const LogTimeline timeline =
            buildTimeline(std::move(events.value()),
                          {.request = request, .before = before.value(), .after = after.value()});
    if (timeline.events.empty()) {
        streams.error << "fescuectl: no log line has the id " << request
                      << "; successful statements are not logged\n";
        return ToolOutcome::Refused;
    }
    if (arguments.has("json"))
        printJson(timeline, streams.out);
    else
        printTimeline(timeline, streams.out);
    return ToolOutcome::Done;
}

} // namespace fescuespring
