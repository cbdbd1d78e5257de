#pragma once

#include "base/result.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace fescuespring {

// Exit codes of the daemons, documented in docs/OPERATORS.md.
enum DaemonExit {
    ExitStopped = 0,
    ExitCannotStart = 1,
    ExitBadArguments = 2,
    ExitBadSettings = 3,
    ExitStopDeadlinePassed = 4,
};

// The common command line of the daemons: --settings, --check-settings, --version, --help.
struct DaemonCommand
{
    std::string name;

    // Environment variable with the path of the settings file, used if --settings is not given.
    // Empty for none.
    std::string settingsVariable = {};

    // Returns all errors in the settings file.
    std::function<std::vector<Error>(const std::string &path)> check;

    // Runs the daemon with a checked settings file. Returns the exit code.
    std::function<int(const std::string &path)> run;
};

// Executes the command line. Returns the exit code. Does not throw.
int followCommandLine(const DaemonCommand &command, const std::vector<std::string> &arguments,
                      std::ostream &out, std::ostream &errors);

// Flushes the standard streams and ends the process with the exit code. To be called at the end of
// main, after the daemon has released its resources. Skips the exit handlers of libraries, because
// a handler that waits for the library's own threads could keep a stopped VM from exiting.
[[noreturn]] void endProcess(int exitCode);

} // namespace fescuespring
