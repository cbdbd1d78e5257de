#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace fescuespring {

// What a run of fescuectl came to; the value is the exit code of the program.
enum class ToolOutcome {
    Done = 0,

    // The VM or the platform, or a check of the lists, said no; nothing was changed.
    Refused = 1,

    // The command line is wrong; nothing was sent.
    Usage = 2,

    // No answer came, and nothing was changed.
    Unreachable = 3,

    // Somebody else changed the same thing meanwhile; nothing was changed.
    Conflict = 4,

    // No answer came, and the change may or may not have been made.
    Unknown = 5,
};

// Where a run writes: what was asked for, and what went wrong.
struct ToolStreams
{
    std::ostream &out;
    std::ostream &error;
};

// Runs one command of fescuectl, the operator's tool, to its end:
//
//     std::ostringstream out;
//     std::ostringstream error;
//     runOperatorTool({"status", "--vm", "10.1.0.11:8400"}, {out, error});
//
// arguments are those after the program's name. Blocks until the command has ended, at the latest
// after its timeout. Does not throw.
ToolOutcome runOperatorTool(const std::vector<std::string> &arguments, ToolStreams streams);

} // namespace fescuespring
