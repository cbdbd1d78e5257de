#pragma once

#include "databaseport/databaseport.h"
#include "net/eventloop.h"

namespace fescuespring {

// A factory of ports that speak the HTTP and JSON of docs/PROTOCOLS.md on loop, which must outlive
// them.
DatabasePortFactory httpDatabasePorts(EventLoop &loop);

} // namespace fescuespring
