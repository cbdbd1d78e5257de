#include "standinsupport/controlport.h"

#include <boost/json.hpp>

#include <utility>

namespace fescuespring {

namespace {

HttpResponse setFaults(const ControlPortOptions &options, const HttpRequest &request)
{
    const auto error = options.setFaults(request.body);
    if (error)
        return errorResponse(400, *error);
    return {.status = 200, .body = options.faults()};
}

HttpResponse answer(const ControlPortOptions &options, const HttpRequest &request)
{
    const std::string path = targetPath(request.target);
    if (path == "/control/faults" && request.method == "POST")
        return setFaults(options, request);
    if (path == "/control/faults" && request.method == "GET")
        return {.status = 200, .body = options.faults()};
    if (path == "/control/counters" && request.method == "GET")
        return {.status = 200, .body = options.counters(), .contentType = "text/plain"};
    std::optional<HttpResponse> other;
    if (options.other)
        other = options.other(request);
    if (other)
        return *other;
    return errorResponse(404, {ErrorCode::NotFound, "no such control call"});
}

} // namespace

HttpResponse errorResponse(int status, const Error &error)
{
    const boost::json::object body{{"error", describe(error)}};
    return {.status = status, .body = boost::json::serialize(body)};
}

Result<std::unique_ptr<HttpServer>> listenForControl(EventLoop &loop, ControlPortOptions options)
{
    const Endpoint endpoint = options.endpoint;
    return HttpServer::listen(
            loop,
            {.endpoint = endpoint,
             .handler = [options = std::move(options)](HttpConnectionId, const HttpRequest &request,
                                                       const HttpResponder &respond) {
                 respond(answer(options, request));
             }});
}

} // namespace fescuespring
