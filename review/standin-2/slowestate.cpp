// The project's stand-in for the platform and its databases, with a promotion that takes a given
// time.
//
// slow-estate PORT CONTROL-PORT DATABASE-PORT PROMOTION-MS
// POST /control/crash?database=ID, likewise restart and drain; GET /control/state.

#include "net/eventloop.h"
#include "net/httpserver.h"
#include "platformstandins/estate.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

using namespace fescuespring;

namespace {

HttpResponse control(Estate &estate, const HttpRequest &request)
{
    const std::string path = targetPath(request.target);
    const std::string database = queryValue(request.target, "database");
    if (path == "/control/state") {
        return {.body = "primary=" + estate.primary("group0")
                        + " terms=" + std::to_string(estate.terms("group0").size()) + '\n',
                .contentType = "text/plain"};
    }
    if (path == "/control/entry") {
        estate.writeEntry(queryValue(request.target, "name"), request.body);
        return {.body = "{}"};
    }
    const bool isDone = path == "/control/crash"     ? estate.crash(database)
                        : path == "/control/restart" ? estate.restart(database)
                        : path == "/control/drain"   ? estate.drain(database)
                                                     : false;
    return {.status = isDone ? 200 : 404, .body = "{}"};
}

std::uint16_t portOf(const char *text)
{
    return static_cast<std::uint16_t>(std::atoi(text));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 5 || argc > 7)
        return 2;
    EventLoop loop;
    EstateOptions options;
    options.storePort = portOf(argv[1]);
    options.databasePort = portOf(argv[3]);
    options.dataCentres = {"tt-south-a", "tt-south-b", "tt-south-c"};
    options.promotionTime = std::chrono::milliseconds(std::atoi(argv[4]));
    if (argc >= 6)
        options.replicaLag = std::chrono::milliseconds(std::atoi(argv[5]));
    if (argc == 7)
        options.drainTime = std::chrono::milliseconds(std::atoi(argv[6]));
    const auto estate = Estate::start(loop, options);
    if (!estate)
        return 2;
    const auto port = HttpServer::listen(
            loop, {.endpoint = {"127.0.0.1", portOf(argv[2])},
                   .handler = [&estate](HttpConnectionId, const HttpRequest &request,
                                        const HttpResponder &respond) {
                       respond(control(*estate.value(), request));
                   }});
    if (!port)
        return 2;
    loop.onStopSignal([&loop] { loop.stop(); });
    loop.run();
    return 0;
}
