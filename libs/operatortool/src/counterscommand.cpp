#include "commands.h"

#include "table.h"
#include "vmcall.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <optional>
#include <ostream>
#include <sstream>

namespace fescuespring {

namespace {

struct CounterLine
{
    std::string name;
    std::uint64_t value = 0;
};

std::optional<CounterLine> parseLine(const std::string &line)
{
    const std::size_t blank = line.rfind(' ');
    if (blank == std::string::npos || blank == 0)
        return std::nullopt;
    CounterLine counter{.name = line.substr(0, blank)};
    const char *end = line.data() + line.size();
    const auto result = std::from_chars(line.data() + blank + 1, end, counter.value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return counter;
}

bool isWanted(const CounterLine &counter, const Arguments &arguments)
{
    if (counter.value == 0 && !arguments.has("all"))
        return false;
    return counter.name.find(arguments.value("filter")) != std::string::npos;
}

std::vector<CounterLine> wantedCounters(const std::string &text, const Arguments &arguments)
{
    std::vector<CounterLine> counters;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        std::optional<CounterLine> counter = parseLine(line);
        if (counter && isWanted(*counter, arguments))
            counters.push_back(std::move(*counter));
    }
    return counters;
}

void printJson(const std::vector<CounterLine> &counters, std::ostream &out)
{
    boost::json::object object;
    for (const CounterLine &counter : counters)
        object[counter.name] = counter.value;
    out << boost::json::serialize(object) << '\n';
}

void printTable(const std::vector<CounterLine> &counters, std::ostream &out)
{
    Table table({"COUNTER", "VALUE"});
    for (const CounterLine &counter : counters)
        table.add({counter.name, std::to_string(counter.value)});
    table.print(out);
}

// Fetches counters as text from a page of a VM and prints those that the options select.
ToolOutcome showCounters(Arguments &arguments, const std::string &page,
                         const std::vector<std::string> &words, ToolStreams streams)
{
    arguments.flag("all", "includes counters that are zero");
    arguments.option("filter", "shows only counters whose name contains this text");
    addVmOptions(arguments);
    ToolOutcome outcome = ToolOutcome::Done;
    if (!parseOrPrintHelp(arguments, words, streams, outcome))
        return outcome;
    const Result<VmTarget> vm = vmTarget(arguments);
    if (!vm)
        return reportUsageError(vm.error(), streams);
    const VmReply reply = sendRequest(vm.value(), {.target = page}, streams);
    if (reply.outcome != ToolOutcome::Done)
        return reply.outcome;
    const std::vector<CounterLine> counters = wantedCounters(reply.body, arguments);
    if (arguments.has("json"))
        printJson(counters, streams.out);
    else
        printTable(counters, streams.out);
    return ToolOutcome::Done;
}

} // namespace

ToolOutcome runCounters(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("counters", "Shows the counters of a VM that are not zero.");
    return showCounters(arguments, "/v1/counters", words, streams);
}

ToolOutcome runMetrics(const std::vector<std::string> &words, ToolStreams streams)
{
    Arguments arguments("metrics", "Shows counters and histograms at a VM's metrics address.");
    return showCounters(arguments, "/metrics", words, streams);
}

} // namespace fescuespring
