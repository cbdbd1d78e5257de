#include "daemoncommand/daemoncommand.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace options = boost::program_options;

namespace fescuespring {

namespace {

options::options_description description(const DaemonCommand &command)
{
    std::string help = "YAML file of settings (docs/SETTINGS.md)";
    if (!command.settingsVariable.empty())
        help += "; defaults to the file that " + command.settingsVariable + " names";
    options::options_description all(command.name + " --settings FILE [options]");
    auto add = all.add_options();
    add("settings,s", options::value<std::string>(), help.c_str());
    add("check-settings", "check the settings, print every error, and exit");
    add("version", "print the version and exit");
    add("help,h", "print this text and exit");
    return all;
}

std::string settingsPath(const DaemonCommand &command, const options::variables_map &arguments)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    const char *variable = command.settingsVariable.empty()
                                   ? nullptr
                                   : std::getenv(command.settingsVariable.c_str());
    return variable ? variable : "";
}

int execute(const DaemonCommand &command, const options::variables_map &arguments,
            std::ostream &out, std::ostream &errors)
{
    if (arguments.count("help") > 0) {
        out << description(command);
        return ExitStopped;
    }
    if (arguments.count("version") > 0) {
        out << command.name << " " FESCUESPRING_VERSION "\n";
        return ExitStopped;
    }
    const std::string path = settingsPath(command, arguments);
    if (path.empty()) {
        errors << command.name << ": --settings FILE is required; see --help\n";
        return ExitBadArguments;
    }
    const std::vector<Error> settingsErrors = command.check(path);
    for (const Error &error : settingsErrors)
        errors << describe(error, path) << '\n';
    if (!settingsErrors.empty())
        return ExitBadSettings;
    if (arguments.count("check-settings") > 0) {
        out << path << ": no errors\n";
        return ExitStopped;
    }
    return command.run(path);
}

} // namespace

int followCommandLine(const DaemonCommand &command, const std::vector<std::string> &arguments,
                      std::ostream &out, std::ostream &errors)
{
    try {
        options::variables_map map;
        options::store(options::command_line_parser(arguments).options(description(command)).run(),
                       map);
        return execute(command, map, out, errors);
    } catch (const options::error &error) {
        errors << command.name << ": " << error.what() << "; see --help\n";
        return ExitBadArguments;
    }
}

void endProcess(int exitCode)
{
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
    std::quick_exit(exitCode);
}

} // namespace fescuespring
