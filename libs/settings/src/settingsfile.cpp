#include "settingsfile.h"

#include "yamltext/onedocument.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>

namespace fescuespring::detail {

namespace {

constexpr std::size_t maximumFileBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t maximumPathBytes = 4096;
constexpr std::size_t maximumLayoutBytes = 256;
constexpr std::size_t maximumEndpointBytes = 64;
constexpr std::uint32_t maximumLinesPerSecond = 100'000;

bool isIp(const std::string &ip)
{
    in6_addr address;
    return ::inet_pton(AF_INET, ip.c_str(), &address) == 1
           || ::inet_pton(AF_INET6, ip.c_str(), &address) == 1;
}

bool isWildcard(const std::string &ip)
{
    return ip == "0.0.0.0" || ip == "::";
}

Error malformed(std::string message, int line)
{
    return Error{.code = ErrorCode::Malformed, .message = std::move(message), .line = line};
}

void readDocument(const YAML::Node &document, const std::function<void(Section &)> &read,
                  std::vector<Error> &errors)
{
    if (!document.IsMap()) {
        errors.push_back(malformed("must be a mapping of fields", 1));
        return;
    }
    Section section(document, {}, errors);
    read(section);
}

} // namespace

void checkIp(Section &section, const std::string &ip, EndpointUse use)
{
    if (ip.empty())
        return;
    if (!isIp(ip))
        section.addError("ip", "must be an IP address");
    else if (use != EndpointUse::Listen && isWildcard(ip))
        section.addError("ip", "must be an address that other VMs can reach");
}

void readEndpointText(Section &section, std::string_view field, Endpoint &endpoint,
                      Presence presence)
{
    std::string text;
    section.text(field, text, {1, maximumEndpointBytes}, presence);
    if (text.empty())
        return;
    const std::size_t colon = text.rfind(':');
    const char *end = text.data() + text.size();
    std::uint16_t port = 0;
    const bool hasPort = colon != std::string::npos
                         && std::from_chars(text.data() + colon + 1, end, port).ptr == end
                         && port > 0;
    if (!hasPort || !isIp(text.substr(0, colon))) {
        section.addError(field, "must be an IP address and a port, as in 10.0.0.1:8080");
        return;
    }
    endpoint = {text.substr(0, colon), port};
}

void readLogging(Section &section, LogOptions &logging)
{
    section.choice("level", logging.level, logLevelFromString, "debug, info, warning, error, off");
    section.text("file", logging.file, {0, maximumPathBytes}, Presence::Optional);
    section.number("linesPerSecond", logging.linesPerSecond, {0, maximumLinesPerSecond});
    section.text("layout", logging.layout, {1, maximumLayoutBytes}, Presence::Optional);
    if (logging.layout.find("%m") == std::string::npos)
        section.addError("layout", "must contain %m, the log message");
}

std::vector<Error> readYaml(std::string_view yaml, const std::function<void(Section &)> &read)
{
    if (yaml.size() > maximumFileBytes) {
        return {Error{.code = ErrorCode::TooLarge,
                      .message = "longer than " + std::to_string(maximumFileBytes) + " bytes"}};
    }
    const std::string text(yaml);
    if (const Result<void> checked = checkOneDocument(text); !checked)
        return {checked.error()};
    std::vector<Error> errors;
    try {
        readDocument(YAML::Load(text), read, errors);
    } catch (const YAML::Exception &exception) {
        return {malformed("is not valid YAML: " + exception.msg, exception.mark.line + 1)};
    } catch (const std::exception &exception) {
        return {malformed(exception.what(), 0)};
    }
    std::stable_sort(errors.begin(), errors.end(),
                     [](const Error &left, const Error &right) { return left.line < right.line; });
    return errors;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return Error{.code = ErrorCode::NotFound, .message = "cannot be read, or is empty"};
    return text.str();
}

} // namespace fescuespring::detail
