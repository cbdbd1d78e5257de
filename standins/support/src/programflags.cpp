#include "standinsupport/programflags.h"

#include <charconv>
#include <iostream>

namespace fescuespring {

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
