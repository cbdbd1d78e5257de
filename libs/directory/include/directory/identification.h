#pragma once

#include "directory/routetable.h"
#include "statements/statement.h"

#include <string>

namespace fescuespring {

// Whether the caller with an API key may use a route now, and as which customer.
//
//     const Identification caller = identify(routes, *routes.find(name), key, timers.now());
//     if (!caller.isAccepted())
//         refuse(caller.failure, caller.message());
struct Identification
{
    // None; Unauthorized if the key identifies no customer; Busy if the configuration may lack a
    // change that had to be in force by now.
    StatementFailure failure = StatementFailure::None;

    // Empty on public routes, and where callers are not identified.
    CustomerId customer = {};

    bool isAccepted() const
    {
        return failure == StatementFailure::None;
    }

    // The reason of a refusal, for the caller.
    std::string message() const;
};

// Whether the configuration in force lets a key use a route, however old that configuration is. An
// empty digest stands for a caller without a key, here and below.
bool isKnown(const RouteTable &routes, const Route &route, const KeyDigest &key);

// For a new caller. An unknown key is Busy if the configuration was not confirmed within its bound,
// as the key may have been added since.
Identification identify(const RouteTable &routes, const Route &route, const KeyDigest &key,
                        Instant now);

// For a caller that was accepted before: an unknown key has been removed.
Identification identifyAgain(const RouteTable &routes, const Route &route, const KeyDigest &key,
                             Instant now);

// For a statement that another VM accepted under a key by a version of the configuration.
// A key that is unknown here may be of a configuration that is not in force here yet; as this one
// was confirmed within the bound, that key was not removed longer ago.
Identification identifyRelayed(const RouteTable &routes, const KeyDigest &key,
                               std::uint64_t configuration, Instant now);

} // namespace fescuespring
