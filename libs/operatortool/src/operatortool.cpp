#include "operatortool/operatortool.h"

#include "commands.h"

#include <array>
#include <exception>
#include <ostream>

namespace fescuespring {

namespace {

constexpr std::array commands{
        Command{"status", "members, owners, groups and what is in force at a VM", runStatus},
        Command{"counters", "the counters of a VM", runCounters},
        Command{"route", "where a request would go now, and why", runRoute},
        Command{"drain", "starts the planned stop of a VM", runDrain},
};

constexpr const char *exitCodes = "Exit codes:\n"
                                  "  0  done\n"
                                  "  1  refused by the VM, the platform or a check; nothing "
                                  "changed\n"
                                  "  2  wrong command line; nothing sent\n"
                                  "  3  no answer; nothing changed\n"
                                  "  4  somebody else changed the same thing; nothing changed\n"
                                  "  5  no answer, and the change may have been made\n";

void printHelp(std::ostream &out)
{
    out << "Usage: fescuectl COMMAND [options]\n"
           "The operator's tool of fescuespring.\n\nCommands:\n";
    for (const Command &command : commands) {
        std::string name = command.name;
        name.resize(12, ' ');
        out << "  " << name << command.summary << '\n';
    }
    out << "\nfescuectl COMMAND --help shows the options of a command.\n\n" << exitCodes;
}

ToolOutcome runCommand(const std::vector<std::string> &arguments, ToolStreams streams)
{
    if (arguments.empty() || arguments.front() == "--help") {
        printHelp(arguments.empty() ? streams.error : streams.out);
        return arguments.empty() ? ToolOutcome::Usage : ToolOutcome::Done;
    }
    for (const Command &command : commands) {
        if (arguments.front() == command.name)
            return command.run({arguments.begin() + 1, arguments.end()}, streams);
    }
    return usageFault(Error{.message = "no command '" + arguments.front() + "'"}, streams);
}

} // namespace

ToolOutcome usageFault(const Error &error, ToolStreams streams)
{
    streams.error << "fescuectl: " << describe(error) << '\n' << "See fescuectl --help.\n";
    return ToolOutcome::Usage;
}

bool parseOrExplain(Arguments &arguments, const std::vector<std::string> &words,
                    ToolStreams streams, ToolOutcome &outcome)
{
    const Result<void> parsed = arguments.parse(words);
    if (!parsed) {
        outcome = usageFault(parsed.error(), streams);
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
        return runCommand(arguments, streams);
    } catch (const std::exception &exception) {
        streams.error << "fescuectl: " << exception.what() << '\n';
        return ToolOutcome::Usage;
    }
}

} // namespace fescuespring
