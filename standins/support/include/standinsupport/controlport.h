#pragma once

#include "base/result.h"
#include "base/types.h"
#include "net/eventloop.h"
#include "net/httpserver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// What a stand-in does at its control port, which no fault touches.
struct ControlPortOptions
{
    Endpoint endpoint;

    // Applies the JSON object of POST /control/faults.
    std::function<std::optional<Error>(std::string_view body)> setFaults = {};

    // Answers GET /control/faults.
    std::function<std::string()> faults = {};

    // Answers GET /control/counters: text, one counter a line.
    std::function<std::string()> counters = {};

    // Further calls; may be empty. Nothing: not found.
    std::function<std::optional<HttpResponse>(const HttpRequest &)> other = {};
};

// Listens for control calls on the loop.
Result<std::unique_ptr<HttpServer>> listenForControl(EventLoop &loop, ControlPortOptions options);

// A JSON answer {"error":"..."}.
HttpResponse errorResponse(int status, const Error &error);

} // namespace fescuespring
