#pragma once

#include "base/result.h"
#include "base/types.h"
#include "logging/log.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// The settings of a VM that serves interactive sessions, as they stand in its YAML file;
// docs/SETTINGS.md describes each field.
struct StatementVmSettings
{
    VmId vm;
    DataCentreId dataCentre;

    // Where callers are listened to, and where the balancer asks whether this VM takes callers.
    Endpoint callers;
    Endpoint readiness;

    // Where counters are served as text, where other VMs get what this one knows of the store, and
    // where they borrow its connections.
    Endpoint metrics;
    Endpoint peers;
    Endpoint relay;

    // The platform's object store, and the address that takes orders to promote.
    Endpoint store;
    Endpoint promotions;

    // Time from the order to stop until this VM is gone.
    std::chrono::milliseconds stopDeadline{4500};

    // Connections of callers held open at once.
    std::uint32_t maxCallerConnections = 3000;

    // On the standard output, bounded, unless a file is named.
    LogOptions logging{.standardOutput = true, .linesPerSecond = 20};
};

using StatementSettingsResult =
        boost::outcome_v2::basic_result<StatementVmSettings, std::vector<Error>,
                                        boost::outcome_v2::policy::terminate>;

// Checked settings, or every error of the text in the order of its lines. Neither throws.
StatementSettingsResult parseStatementSettings(std::string_view yaml);
StatementSettingsResult loadStatementSettings(const std::string &path);

} // namespace fescuespring
