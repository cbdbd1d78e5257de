#pragma once

#include "base/result.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace fescuespring {

// Exit codes of the daemons, as docs/OPERATORS.md lists them.
enum DaemonExit {
    ExitStopped = 0,
    ExitCannotStart = 1,
    ExitBadArguments = 2,
    ExitBadSettings = 3,
    ExitStopDeadlinePassed = 4,
};

// The command line that the daemons share: --settings, --check-settings, --version, --help.
struct DaemonCommand
{
    std::string name;

    // Variable that names the settings file where --settings is not given; empty for none.
    std::string settingsVariable = {};

    // Every error of the settings file; none if it may be used.
    std::function<std::vector<Error>(const std::string &path)> check;

    // Runs the daemon with a settings file that was checked.
    std::function<int(const std::string &path)> run;
};

// Follows the command line. Returns the exit code; does not throw.
int followCommandLine(const DaemonCommand &command, const std::vector<std::string> &arguments,
                      std::ostream &out, std::ostream &errors);

// Ends the process with an exit code, after what was written to the standard streams is out. For
// the end of main, when the daemon has let go of all that it held: what libraries would clean up at
// exit is left alone, so that one that waits for threads of its own keeps no stopped VM from
// ending.
[[noreturn]] void endProcess(int exitCode);

} // namespace fescuespring
