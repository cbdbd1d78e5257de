#include "standinsupport/programflags.h"

#include <boost/program_options/parsers.hpp>

#include <charconv>
#include <cstdlib>
#include <iostream>

namespace po = boost::program_options;

namespace fescuespring {

std::optional<int> readFlags(const std::string &program, const po::options_description &options,
                             int argc, char **argv, po::variables_map &given)
{
    try {
        po::store(po::parse_command_line(argc, argv, options), given);
        if (given.contains("help")) {
            std::cout << options;
            return EXIT_SUCCESS;
        }
        po::notify(given);
    } catch (const po::error &error) {
        return failWith(program, ExitWrongFlags, error.what());
    }
    return std::nullopt;
}

int failWith(const std::string &program, int code, const std::string &message)
{
    std::cerr << program << ": " << message << '\n';
    return code;
}

Result<NamedEndpoint> namedEndpointOf(const std::string &text, const std::string &flag)
{
    const std::size_t split = text.find('=');
    if (split == std::string::npos)
        return Error{ErrorCode::InvalidField, "must be NAME=IP:PORT", flag};
    BOOST_OUTCOME_TRY(const Endpoint endpoint, endpointOf(text.substr(split + 1)));
    return NamedEndpoint{text.substr(0, split), endpoint};
}

Result<Endpoint> endpointOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return Error{ErrorCode::InvalidField, "'" + text + "' is no IP:PORT"};
    Endpoint endpoint{.ip = text.substr(0, colon)};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (error != std::errc() || stop != end || endpoint.port == 0)
        return Error{ErrorCode::InvalidField, "'" + text + "' has no port from 1 to 65535"};
    return endpoint;
}

void printListening(const std::string &name, const Endpoint &data, const Endpoint &control)
{
    std::cout << name << " listening at " << data.ip << ':' << data.port << ", control at "
              << control.ip << ':' << control.port << std::endl;
}

} // namespace fescuespring
