#pragma once

#include "databaseport/databaseport.h"
#include "net/eventloop.h"

#include <string>

namespace fescuespring {

// A factory of ports that speak the HTTP and JSON of docs/PROTOCOLS.md on loop, which must outlive
// them. Connections come from localIp; empty lets the system choose.
DatabasePortFactory httpDatabasePorts(EventLoop &loop, const std::string &localIp = {});

} // namespace fescuespring
