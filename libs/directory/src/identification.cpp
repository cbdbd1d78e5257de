#include "directory/identification.h"

namespace fescuespring {

std::string Identification::message() const
{
    switch (failure) {
    case StatementFailure::Unauthorized:
        return "the key identifies no customer";
    case StatementFailure::Aborted:
        return "the key has become another customer's";
    case StatementFailure::Busy:
        return "the configuration could not be confirmed";
    default:
        return {};
    }
}

bool isKnown(const RouteTable &routes, const Route &route, const KeyDigest &key)
{
    const CustomerTable &customers = routes.customers();
    return route.isPublic || !routes.areCallersIdentified() || customers.findByKey(key);
}

Identification identify(const RouteTable &routes, const Route &route, const KeyDigest &key,
                        Instant now)
{
    const CustomerTable &customers = routes.customers();
    if (route.isPublic || !routes.areCallersIdentified())
        return {};
    if (!routes.isCurrent(now))
        return {.failure = StatementFailure::Busy};
    const Customer *customer = customers.findByKey(key);
    if (!customer)
        return {.failure = StatementFailure::Unauthorized};
    return {.customer = customer->id};
}

Identification identifyAgain(const RouteTable &routes, const Route &route, const KeyDigest &key,
                             const CustomerId &customer, Instant now)
{
    if (!isKnown(routes, route, key))
        return {.failure = StatementFailure::Unauthorized};
    Identification caller = identify(routes, route, key, now);
    // A route that has become public needs no customer any more.
    const bool isNamed = caller.isAccepted() && !caller.customer.isEmpty();
    if (isNamed && !customer.isEmpty() && caller.customer != customer)
        return {.failure = StatementFailure::Aborted};
    return caller;
}

Identification identifyRelayed(const RouteTable &routes, const RelayedCaller &caller, Instant now)
{
    if (caller.key.isEmpty() || !routes.areCallersIdentified())
        return {};
    if (!routes.isCurrent(now))
        return {.failure = StatementFailure::Busy};
    const Customer *customer = routes.customers().findByKey(caller.key);
    const bool isSame = customer && customer->id == caller.customer;
    if (isSame || caller.configuration > routes.configuration().version)
        return {.customer = caller.customer};
    return {.failure = customer ? StatementFailure::Aborted : StatementFailure::Unauthorized};
}

} // namespace fescuespring
