#pragma once

#include "arguments.h"
#include "operatortool/operatortool.h"

#include <string>
#include <vector>

namespace fescuespring {

// A command of fescuectl: a name, words after it, what it does.
struct Command
{
    const char *name;
    const char *summary;
    ToolOutcome (*run)(const std::vector<std::string> &words, ToolStreams streams);
};

ToolOutcome runStatus(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runCounters(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runRoute(const std::vector<std::string> &words, ToolStreams streams);
ToolOutcome runDrain(const std::vector<std::string> &words, ToolStreams streams);

// Parses words; where help was asked for or the words are wrong, prints that and gives the outcome
// to end with.
bool parseOrExplain(Arguments &arguments, const std::vector<std::string> &words,
                    ToolStreams streams, ToolOutcome &outcome);

// Prints an error of the command line and where to find help.
ToolOutcome usageFault(const Error &error, ToolStreams streams);

} // namespace fescuespring
