#pragma once

#include "base/result.h"
#include "fescuebench/benchoptions.h"
#include "net/eventloop.h"
#include "net/http.h"

#include <optional>
#include <string>

namespace fescuespring {

// Sends one request and runs the loop until it is answered.
Result<HttpResponse> callAndWait(EventLoop &loop, const Endpoint &endpoint,
                                 const HttpRequest &request);

// Sets faults of a database stand-in: a JSON object, as in docs/STANDINS.md.
std::optional<Error> setFaults(EventLoop &loop, const BenchDatabase &database,
                               const std::string &faults);

struct BenchPrimary
{
    BenchDatabase database;
    Term term;
};

// The database of group that calls itself primary under the highest term.
Result<BenchPrimary> primaryOf(EventLoop &loop, const BenchOptions &options, const GroupId &group);

// CPU time that processes have used since they started, of all that still run.
Duration cpuTimeOf(const std::vector<std::uint32_t> &processes);

} // namespace fescuespring
