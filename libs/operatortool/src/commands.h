#pragma once

#include "arguments.h"
#include "operatortool/operatortool.h"

#include <span>
#include <string>
#include <vector>

namespace fescuespring {

// A command of fescuectl, or of a group of commands. run receives the arguments after its name.
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

// Runs the command named by the first word. Prints the list of commands for --help and for no word,
// an error for an unknown command. group is empty for the commands of fescuectl itself.
ToolOutcome runSubcommand(const std::string &group, std::span<const Command> commands,
                          const std::vector<std::string> &words, ToolStreams streams);

// Parses words. For --help or invalid words, prints the help or the error, sets outcome and returns
// false.
bool parseOrPrintHelp(Arguments &arguments, const std::vector<std::string> &words,
                      ToolStreams streams, ToolOutcome &outcome);

// Prints an error of the command line and a pointer to the help.
ToolOutcome reportUsageError(const Error &error, ToolStreams streams);

} // namespace fescuespring
