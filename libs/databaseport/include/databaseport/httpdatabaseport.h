#pragma once

#include "databaseport/databaseport.h"
#include "net/eventloop.h"

#include <string>

namespace fescuespring {

// Returns a factory of ports that use the HTTP and JSON protocol of docs/PROTOCOLS.md on loop,
// which must outlive them. Connections are bound to localIp; empty lets the system choose.
DatabasePortFactory httpDatabasePorts(EventLoop &loop, const std::string &localIp = {});

} // namespace fescuespring
