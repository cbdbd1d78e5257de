#pragma once

#include "base/result.h"
#include "base/types.h"

#include <string>

namespace fescuespring {

// "IP:PORT" as an endpoint.
Result<Endpoint> endpointOf(const std::string &text);

// Prints "NAME listening at IP:PORT, control at IP:PORT", so that whoever started the program with
// port 0 learns the ports.
void printListening(const std::string &name, const Endpoint &data, const Endpoint &control);

} // namespace fescuespring
