#pragma once

#include "arguments.h"
#include "operatortool/operatortool.h"

#include <span>
#include <string>
#include <vector>

namespace fescuespring {

// A command of fescuectl, or of a group of commands. Its run takes the words after its name.
struct Command
{
    const char *name;
    const char *summary;
    ToolOutcome (*run)(const std::vector<std::string> &words, ToolStreams streams);
};

ToolOutcome runPlans(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runCustomers(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runStatus(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runCounters(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runMetrics(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runExplain(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runRoute(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runDrain(const std::vector<std::string> &words, ToolStreams streams);

// Runs the command that the first word names; --help, no word and unknown words are answered with
// the list of commands. group is empty for the commands of fescuectl itself.
ToolOutcome runOneOf(const std::string &group, std::span<const Command> commands,
                     const std::vector<std::string> &words, ToolStreams streams);

// Parses words; where help was asked for or the words are wrong, prints that and gives the outcome
// to end with.
bool parseOrExplain(Arguments &arguments, const std::vector<std::string> &words,
                    ToolStreams streams, ToolOutcome &outcome);

// Prints an error of the command line and where to find help.
ToolOutcome usageFault(const Error &error, ToolStreams streams);

} // namespace fescuespring
