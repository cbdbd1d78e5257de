#include "operatortool/operatortool.h"

#include "commands.h"

#include <array>
#include <exception>
#include <ostream>

namespace fescuespring {

namespace {

// Width of the column of command names in the help.
constexpr std::size_t nameWidth = 12;

constexpr std::array toolCommands{
        Command{"plans", "shows, checks and edits the plans", runPlans},
        Command{"customers", "shows and edits the plans of customers", runCustomers},
        Command{"status", "members, owners, groups and databases as a VM reports them", runStatus},
        Command{"counters", "the counters of a VM", runCounters},
        Command{"metrics", "counters and histograms at a VM's metrics address", runMetrics},
        Command{"explain", "the timeline of a failed statement, from the logs of VMs", runExplain},
        Command{"route", "how a request would be routed now, and why", runRoute},
        Command{"drain", "starts the planned stop of a VM", runDrain},
};

constexpr const char *exitCodes = "Exit codes:\n"
                                  "  0  done\n"
                                  "  1  refused by the VM, the platform or a check; nothing "
                                  "changed\n"
                                  "  2  invalid command line; nothing sent\n"
                                  "  3  no reply; nothing changed\n"
                                  "  4  concurrent change by another operator; nothing changed\n"
                                  "  5  no reply; the change may have been made\n";

std::string commandLine(const std::string &group)
{
    return group.empty() ? "fescuectl" : "fescuectl " + group;
}

void printHelp(const std::string &group, std::span<const Command> commands, std::ostream &out)
{
    out << "Usage: " << commandLine(group) << " COMMAND [options]\n";
    if (group.empty())
        out << "The operator's tool of fescuespring.\n";
    out << "\nCommands:\n";
    for (const Command &command : commands) {
        std::string name = command.name;
        name.resize(nameWidth, ' ');
        out << "  " << name << command.summary << '\n';
    }
    out << '\n' << commandLine(group) << " COMMAND --help shows the options of a command.\n";
    if (group.empty())
        out << '\n' << exitCodes;
}

} // namespace

ToolOutcome runSubcommand(const std::string &group, std::span<const Command> commands,
                          const std::vector<std::string> &words, ToolStreams streams)
{
    if (words.empty() || words.front() == "--help") {
        printHelp(group, commands, words.empty() ? streams.error : streams.out);
        return words.empty() ? ToolOutcome::Usage : ToolOutcome::Done;
    }
    for (const Command &command : commands) {
        if (words.front() == command.name)
            return command.run({words.begin() + 1, words.end()}, streams);
    }
    return reportUsageError(
            Error{.message = "unknown command '" + words.front() + "' of " + commandLine(group)},
            streams);
}

ToolOutcome reportUsageError(const Error &error, ToolStreams streams)
{
    streams.error << "fescuectl: " << describe(error) << '\n' << "See fescuectl --help.\n";
    return ToolOutcome::Usage;
}

bool parseOrPrintHelp(Arguments &arguments, const std::vector<std::string> &words,
                      ToolStreams streams, ToolOutcome &outcome)
{
    const Result<void> parsed = arguments.parse(words);
    if (!parsed) {
        outcome = reportUsageError(parsed.error(), streams);
        return false;
    }
    if (arguments.has("help")) {
        streams.out << arguments.help();
        outcome = ToolOutcome::Done;
        return false;
    }
    return true;
}

ToolOutcome runOperatorTool(const std::vector<std::string> &arguments, ToolStreams streams)
{
    try {
        return runSubcommand({}, toolCommands, arguments, streams);
    } catch (const std::exception &exception) {
        streams.error << "fescuectl: " << exception.what() << '\n';
        return ToolOutcome::Usage;
    }
}

} // namespace fescuespring
