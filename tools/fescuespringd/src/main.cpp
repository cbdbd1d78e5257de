#include "base/counters.h"
#include "daemoncommand/daemoncommand.h"
#include "logging/log.h"
#include "proxy/vm.h"
#include "settings/daemonsettings.h"

#include <iostream>

using namespace fescuespring;

namespace {

std::vector<Error> checkSettings(const std::string &path)
{
    const SettingsResult settings = loadDaemonSettings(path);
    return settings ? std::vector<Error>() : settings.error();
}

int runVm(const std::string &path)
{
    const SettingsResult settings = loadDaemonSettings(path);
    if (!settings)
        return ExitBadSettings;
    Result<Log> log = Log::open(settings.value().logging);
    if (!log) {
        std::cerr << "fescuespringd: " << describe(log.error()) << '\n';
        return ExitCannotStart;
    }
    Counters counters;
    const Result<std::unique_ptr<Vm>> vm = Vm::start(settings.value(), log.value(), counters);
    if (!vm) {
        std::cerr << "fescuespringd: " << describe(vm.error()) << '\n';
        return ExitCannotStart;
    }
    return vm.value()->run() ? ExitStopped : ExitStopDeadlinePassed;
}

} // namespace

int main(int argc, char **argv)
{
    endProcess(followCommandLine({.name = "fescuespringd", .check = checkSettings, .run = runVm},
                                 std::vector<std::string>(argv + 1, argv + argc), std::cout,
                                 std::cerr));
}
