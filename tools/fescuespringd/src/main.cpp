#include "base/counters.h"
#include "logging/log.h"
#include "proxy/vm.h"
#include "settings/daemonsettings.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;
using namespace fescuespring;

namespace {

// Exit codes, as docs/OPERATORS.md lists them.
enum ExitCode {
    ExitStopped = 0,
    ExitCannotStart = 1,
    ExitBadArguments = 2,
    ExitBadSettings = 3,
    ExitStopDeadlinePassed = 4,
};

options::options_description description()
{
    options::options_description all("fescuespringd --settings FILE [options]");
    auto add = all.add_options();
    add("settings,s", options::value<std::string>(), "YAML file of settings (docs/SETTINGS.md)");
    add("check-settings", "check the settings, print every error, and exit");
    add("version", "print the version and exit");
    add("help,h", "print this text and exit");
    return all;
}

int runVm(const DaemonSettings &settings)
{
    Result<Log> log = Log::open(settings.logging);
    if (!log) {
        std::cerr << "fescuespringd: " << describe(log.error()) << '\n';
        return ExitCannotStart;
    }
    Counters counters;
    const Result<std::unique_ptr<Vm>> vm = Vm::start(settings, log.value(), counters);
    if (!vm) {
        std::cerr << "fescuespringd: " << describe(vm.error()) << '\n';
        return ExitCannotStart;
    }
    return vm.value()->run() ? ExitStopped : ExitStopDeadlinePassed;
}

int run(const options::variables_map &arguments)
{
    if (arguments.count("help") > 0) {
        std::cout << description();
        return ExitStopped;
    }
    if (arguments.count("version") > 0) {
        std::cout << "fescuespringd " FESCUESPRING_VERSION "\n";
        return ExitStopped;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "fescuespringd: --settings FILE is needed; see --help\n";
        return ExitBadArguments;
    }
    const auto path = arguments["settings"].as<std::string>();
    const SettingsResult settings = loadDaemonSettings(path);
    if (!settings) {
        for (const Error &error : settings.error())
            std::cerr << describe(error, path) << '\n';
        return ExitBadSettings;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << path << ": no errors\n";
        return ExitStopped;
    }
    return runVm(settings.value());
}

} // namespace

int main(int argc, char **argv)
{
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description()), arguments);
        return run(arguments);
    } catch (const options::error &error) {
        std::cerr << "fescuespringd: " << error.what() << "; see --help\n";
        return ExitBadArguments;
    }
}
