#pragma once

#include "base/types.h"
#include "logging/log.h"
#include "section.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring::detail {

enum class EndpointUse {
    // Opened by this process. Port 0 selects any free port.
    Listen,

    // Opened by this process and announced to other VMs, so it must not be a wildcard.
    ListenAnnounced,

    // Opened by another process.
    Connect,
};

// Adds an error for the section's field "ip" if ip is not an IP address suitable for its use.
void checkIp(Section &section, const std::string &ip, EndpointUse use);

// Reads a field of the form "10.0.0.1:8080".
void readEndpointText(Section &section, std::string_view field, Endpoint &endpoint,
                      Presence presence = Presence::Required);

void readLogging(Section &section, LogOptions &logging);

// Reads a YAML text as a mapping. Returns all errors, in line order. Does not throw.
std::vector<Error> readYaml(std::string_view yaml, const std::function<void(Section &)> &read);

Result<std::string> readFile(const std::string &path);

template <typename Settings>
using SettingsOrErrors = boost::outcome_v2::basic_result<Settings, std::vector<Error>,
                                                         boost::outcome_v2::policy::terminate>;

template <typename Settings>
SettingsOrErrors<Settings> parseSettings(std::string_view yaml, void (*read)(Section &, Settings &))
{
    Settings settings;
    std::vector<Error> errors = readYaml(yaml, [&](Section &section) { read(section, settings); });
    if (!errors.empty())
        return errors;
    return settings;
}

template <typename Settings>
SettingsOrErrors<Settings> loadSettings(const std::string &path,
                                        void (*read)(Section &, Settings &))
{
    const Result<std::string> text = readFile(path);
    if (!text)
        return std::vector<Error>{text.error()};
    return parseSettings<Settings>(text.value(), read);
}

} // namespace fescuespring::detail
