#pragma once

#include "explorer/promotionworld.h"

#include <array>
#include <string>

// Names, times and texts that the parts of PromotionWorld share.

namespace fescuespring::promotionworld {

inline constexpr std::size_t databaseCount = 3;
inline constexpr Duration eventTime{1};
inline constexpr Instant endOfTime = Instant::max();
inline const GroupId group("herd");

// Timers fire only in a step of their own, so only their order matters.
inline constexpr Duration retryTime = std::chrono::minutes(30);
inline constexpr Duration storeCallTimeout = std::chrono::minutes(60);
inline constexpr Duration timeout = std::chrono::minutes(20);
inline constexpr Duration never = std::chrono::hours(100000);

inline constexpr std::array messageNames{"status", "fence",       "promote",     "follow",
                                         "write",  "read-record", "write-record"};

inline DatabaseId databaseName(std::size_t index)
{
    return DatabaseId("d" + std::to_string(index));
}

inline std::size_t databaseIndex(const DatabaseId &database)
{
    return static_cast<std::size_t>(database.value().back() - '0');
}

inline Endpoint endpointOf(std::size_t index)
{
    return {.ip = "d", .port = static_cast<std::uint16_t>(index + 1)};
}

inline std::size_t indexOf(const Endpoint &endpoint)
{
    return endpoint.port - std::size_t{1};
}

inline DatabaseConnectionId connectionOf(std::size_t vm)
{
    return DatabaseConnectionId(vm + 1);
}

inline Database newDatabase(std::size_t index)
{
    DatabaseOptions options;
    options.database = databaseName(index);
    options.group = group;
    if (index == 0)
        options.initialPrimary = true;
    else
        options.initialFollows = endpointOf(0);
    return Database(options);
}

inline StatementCall writeCall(std::size_t write, Term term)
{
    return {.kind = CallKind::Run,
            .access = Access::Write,
            .term = term,
            .id = RequestId("w" + std::to_string(write)),
            .idempotent = false,
            .statement = "set w" + std::to_string(write) + " done"};
}

inline std::string text(std::uint64_t number)
{
    return std::to_string(number);
}

inline std::string text(LogPoint point)
{
    return text(point.term.value()) + "." + text(point.position.value());
}

inline std::string text(const DatabaseStatus &status)
{
    return std::string(status.role == Role::Primary ? "P" : "R") + text(status.term.value()) + "@"
           + text(status.received) + "/" + text(lastTerm(status.history).value());
}

} // namespace fescuespring::promotionworld
