#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// An HTTP request; target holds path and query.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string body = {};

    // Sent in addition to the required headers; clients only.
    std::vector<HttpHeader> headers = {};
};

// An HTTP response.
struct HttpResponse
{
    int status = 200;
    std::string body = {};
    std::string contentType = "application/json";

    // Server side: closes the connection without sending anything, to simulate a lost answer.
    bool dropConnection = false;

    // Client side: all headers received. Server side: sent in addition to the required headers.
    std::vector<HttpHeader> headers = {};
};

// Returns the value of a header, empty if it is absent. Names are compared without regard to case.
std::string headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

// Returns the path of a target, without its query.
std::string targetPath(const std::string &target);

// Returns the percent-decoded value of a query parameter, empty if it is absent.
std::string queryValue(const std::string &target, const std::string &name);

// Percent-encodes all characters except letters, digits and "-._~".
std::string percentEncode(const std::string &text);

} // namespace fescuespring
