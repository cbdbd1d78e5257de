#pragma once

#include "base/result.h"
#include "base/types.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <string>

namespace fescuespring {

// Exit codes of the stand-ins and of programs like them, beside 0.
enum StandinExit {
    ExitWrongFlags = 2,
    ExitNoPort = 3,
    ExitKilled = 9,
};

// Reads a command line into the targets of options. An exit code where the program is to end: after
// --help, or where the line is wrong, which it then says under the program's name.
std::optional<int> readFlags(const std::string &program,
                             const boost::program_options::options_description &options, int argc,
                             char **argv, boost::program_options::variables_map &given);

// Says what went wrong under the program's name, and gives code back.
int failWith(const std::string &program, int code, const std::string &message);

// "IP:PORT" as an endpoint.
Result<Endpoint> endpointOf(const std::string &text);

struct NamedEndpoint
{
    std::string name;
    Endpoint endpoint;
};

// "NAME=IP:PORT"; the error names the flag.
Result<NamedEndpoint> namedEndpointOf(const std::string &text, const std::string &flag);

// Prints "NAME listening at IP:PORT, control at IP:PORT", so that whoever started the program with
// port 0 learns the ports.
void printListening(const std::string &name, const Endpoint &data, const Endpoint &control);

} // namespace fescuespring
