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

// What an endpoint is for.
enum class EndpointUse {
    // Opened here; port 0 takes any free port.
    Listen,

    // Opened here and told to other VMs, so it must not be a wildcard.
    ListenAnnounced,

    // Opened elsewhere.
    Connect,
};

// Refuses the field "ip" of section where ip is no number that fits its use.
void checkIp(Section &section, const std::string &ip, EndpointUse use);

// Reads a field of the form "10.0.0.1:8080".
void readEndpointText(Section &section, std::string_view field, Endpoint &endpoint,
                      Presence presence = Presence::Required);

void readLogging(Section &section, LogOptions &logging);

// Reads a YAML text as one mapping; every error found, in the order of its lines. Does not throw.
std::vector<Error> readYaml(std::string_view yaml, const std::function<void(Section &)> &read);

// The content of a settings file.
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
