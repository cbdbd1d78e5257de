#include "daemoncommand/daemoncommand.h"

#include <iostream>

#include <unistd.h>

using namespace fescuespring;

namespace {

// Clean-up at exit that never comes to an end, as that of a library that waits for its threads.
struct EndlessCleanUp
{
    ~EndlessCleanUp()
    {
        while (true)
            pause();
    }
};

const EndlessCleanUp cleanUp;

int runOnce(const std::string &)
{
    // Not flushed here: what a daemon said last is not to be lost.
    std::cout << "last line of the daemon";
    return ExitStopped;
}

std::vector<Error> noErrors(const std::string &)
{
    return {};
}

} // namespace

int main()
{
    endProcess(followCommandLine({.name = "test", .check = noErrors, .run = runOnce},
                                 {"--settings", "any"}, std::cout, std::cerr));
}
