#pragma once

#include "base/result.h"
#include "base/types.h"
#include "customers/customer.h"
#include "logging/log.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// How many statements may be in flight at a database: below a fixed response time, or as learned
// from its service times.
enum class DatabaseCapacity {
    Fixed,
    Learned,
};

std::optional<DatabaseCapacity> databaseCapacityFromString(std::string_view text);

// The settings of a VM that serves interactive sessions, read from a YAML file. docs/SETTINGS.md
// describes each field.
struct StatementVmSettings
{
    VmId vm;
    DataCentreId dataCentre;

    // Listening endpoints for callers and for the load balancer's readiness checks.
    Endpoint callers;
    Endpoint readiness;

    // Listening endpoints for counters as text, for other VMs to receive this VM's view of the
    // store, and for other VMs to relay through this VM's connections.
    Endpoint metrics;
    Endpoint peers;
    Endpoint relay;

    // The platform's object store, and the endpoint that accepts promotion requests.
    Endpoint store;
    Endpoint promotions;

    // Time from the stop signal until the platform kills the process.
    std::chrono::milliseconds stopGrace{6000};

    // Time from the stop signal until the process exits, if statements are still running then.
    std::chrono::milliseconds stopDeadline() const;

    // Replaces the deadline that follows from stopGrace.
    std::optional<std::chrono::milliseconds> ownStopDeadline;

    // Time for which a database goes on serving after it has announced that it will leave.
    std::chrono::milliseconds departureNotice{7000};

    // A key that was removed from the configuration must not be used on any VM after this time;
    // empty if there is no such bound.
    std::optional<std::chrono::milliseconds> revocationBound = {};

    // Bound on the operations of each customer; empty if their allowances are not enforced.
    std::optional<AllowanceBound> allowanceBound = {};

    // All VMs of the installation start for the first time, and nothing was written to the store.
    bool isFirstStart = false;

    DatabaseCapacity databaseCapacity = DatabaseCapacity::Fixed;

    // Maximum number of open caller connections.
    std::uint32_t maxCallerConnections = 3000;

    // By default, to standard output and rate-limited.
    LogOptions logging{.standardOutput = true, .linesPerSecond = 20};
};

using StatementSettingsResult =
        boost::outcome_v2::basic_result<StatementVmSettings, std::vector<Error>,
                                        boost::outcome_v2::policy::terminate>;

// Returns the checked settings, or all errors in the text, in line order. Neither function throws.
StatementSettingsResult parseStatementSettings(std::string_view yaml);
StatementSettingsResult loadStatementSettings(const std::string &path);

} // namespace fescuespring
