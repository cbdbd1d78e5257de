#pragma once

#include "directory.h"
#include "distribution/distribution.h"
#include "net/httpserver.h"
#include "settings/daemonsettings.h"
#include "trafficthread.h"

#include <memory>
#include <vector>

namespace fescuespring {

// Gathers the slices of every traffic thread and answers with the JSON of GET /v1/status. Called on
// loop's thread; the answer comes there too.
void collectStatus(EventLoop &loop, const std::vector<std::unique_ptr<TrafficThread>> &threads,
                   const DaemonSettings &settings, const SharedState &state,
                   const ListsStatus &lists, const HttpResponder &respond);

} // namespace fescuespring
