#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace fescuespring {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// A request as it crosses an HTTP port; target holds path and query.
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::string body = {};

    // Sent beside those that the message needs; clients only.
    std::vector<HttpHeader> headers = {};
};

// An answer as it crosses an HTTP port.
struct HttpResponse
{
    int status = 200;
    std::string body = {};
    std::string contentType = "application/json";

    // Server side: close the connection without sending anything, as a lost answer.
    bool dropConnection = false;
};

// The path of a target, without its query.
std::string targetPath(const std::string &target);

// The percent-decoded value of a query parameter, empty if it is not there.
std::string queryValue(const std::string &target, const std::string &name);

// Percent-encodes what is not a letter, a digit or one of "-._~".
std::string percentEncode(const std::string &text);

} // namespace fescuespring
