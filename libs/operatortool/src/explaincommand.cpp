#include "commands.h"

#include "logstory.h"

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

bool isOwn(const LogStory &story, std::size_t place)
{
    return std::ranges::find(story.own, place) != story.own.end();
}

void printStory(const LogStory &story, std::ostream &out)
{
    const LogTime origin = story.events[story.own.front()].at;
    for (std::size_t i = 0; i < story.events.size(); ++i) {
        const LogEvent &event = story.events[i];
        out << (isOwn(story, i) ? "> " : "  ") << (event.at - origin).count() << " ms  " << event.vm
            << "  " << event.text << '\n';
    }
    if (const LogEvent *deciding = story.deciding())
        out << "\nAt " << deciding->vm << ", " << verdictOf(*deciding) << '\n';
    else
        out << "\nNo line says that it failed.\n";
}

void printJson(const LogStory &story, std::ostream &out)
{
    boost::json::array events;
    for (std::size_t i = 0; i < story.events.size(); ++i) {
        const LogEvent &event = story.events[i];
        events.push_back(boost::json::object{{"at", event.at.time_since_epoch().count()},
                                             {"vm", event.vm},
                                             {"own", isOwn(story, i)},
                                             {"line", event.text}});
    }
    const LogEvent *deciding = story.deciding();
    out << boost::json::serialize(boost::json::object{
            {"events", std::move(events)}, {"verdict", deciding ? verdictOf(*deciding) : ""}})
        << '\n';
}

} // namespace

ToolOutcome runExplain(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("explain", "Joins the log lines of several VMs into the story of one "
                                   "statement and names the line that decided.");
    arguments.option("request", "id of the statement");
    arguments.option("before-ms", "how far back to look", "10000");
    arguments.option("after-ms", "how far ahead to look", "5000");
    arguments.words("logs", "files with the VMs' standard output");
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrExplain(arguments, words, streams, outcome))
        return outcome;
    const Result<std::chrono::milliseconds> before = arguments.milliseconds("before-ms");
    const Result<std::chrono::milliseconds> after = arguments.milliseconds("after-ms");
    if (!before || !after)
        return usageFault(before ? after.error() : before.error(), streams);
    const std::string request = arguments.value("request");
    const std::vector<std::string> files = arguments.values("logs");
    if (request.empty() || files.empty())
        return usageFault({.message = "needs --request ID and the files of logs"}, streams);
    Result<std::vector<LogEvent>> events = readLogs(files);
    if (!events)
        return usageFault(events.error(), streams);
    const LogStory story =
            tellStory(std::move(events.value()),
                      {.request = request, .before = before.value(), .after = after.value()});
    if (story.events.empty()) {
        streams.error << "fescuectl: no line names the id " << request
                      << "; a statement that succeeds leaves none\n";
        return ToolOutcome::Refused;
    }
    if (arguments.has("json"))
        printJson(story, streams.out);
    else
        printStory(story, streams.out);
    return ToolOutcome::Done;
}

} // namespace fescuespring
