#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace fescuespring {

// Outcome of a run of fescuectl; the value is the exit code of the program.
enum class ToolOutcome {
    Done = 0,

    // The VM, the platform or a check of the lists refused; nothing was changed.
    Refused = 1,

    // The command line is invalid; nothing was sent.
    Usage = 2,

    // No reply was received, and nothing was changed.
    Unreachable = 3,

    // Another operator changed the same item concurrently; nothing was changed.
    Conflict = 4,

    // No reply was received, and it is unknown whether the change was made.
    Unknown = 5,
};

// Output streams of a run: its results and its error messages.
struct ToolStreams
{
    std::ostream &out;
    std::ostream &error;
};

// Runs one command of fescuectl, the operator's tool:
//
//     std::ostringstream out;
//     std::ostringstream error;
//     runOperatorTool({"status", "--vm", "10.1.0.11:8400"}, {out, error});
//
// arguments are those after the program's name. Blocks until the command has ended, at most for its
// timeout. Does not throw.
ToolOutcome runOperatorTool(const std::vector<std::string> &arguments, ToolStreams streams);

} // namespace fescuespring
