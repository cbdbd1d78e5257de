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
    // None; Unauthorized if the key identifies no customer; Aborted if it has come to identify
    // another one during an operation; Busy if the configuration may lack a change that had to be
    // in force by now.
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

// For a caller that was accepted before: an unknown key has been removed. During an operation, the
// key must still identify the customer that the operation runs for. That customer is empty before
// an operation, and for one that needed no key.
Identification identifyAgain(const RouteTable &routes, const Route &route, const KeyDigest &key,
                             const CustomerId &customer, Instant now);

// The caller of a statement that another VM accepted, and the version of the configuration by which
// it did.
struct RelayedCaller
{
    KeyDigest key = {};
    CustomerId customer = {};
    std::uint64_t configuration = 0;
};

// For a statement that another VM accepted. A key that is unknown here, or is another customer's,
// may be the caller's by a configuration that is not in force here yet; as this one was confirmed
// within the bound, that key was not taken away longer ago.
Identification identifyRelayed(const RouteTable &routes, const RelayedCaller &caller, Instant now);

} // namespace fescuespring
