#include "directory/identification.h"

namespace fescuespring {

std::string Identification::message() const
{
    switch (failure) {
    case StatementFailure::Unauthorized:
        return "the key identifies no customer";
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
                             Instant now)
{
    if (!isKnown(routes, route, key))
        return {.failure = StatementFailure::Unauthorized};
    return identify(routes, route, key, now);
}

Identification identifyRelayed(const RouteTable &routes, const KeyDigest &key,
                               std::uint64_t configuration, Instant now)
{
    const CustomerTable &customers = routes.customers();
    if (key.isEmpty() || !routes.areCallersIdentified())
        return {};
    if (!routes.isCurrent(now))
        return {.failure = StatementFailure::Busy};
    if (const Customer *customer = customers.findByKey(key))
        return {.customer = customer->id};
    const bool mayBeNew = configuration > routes.configuration().version;
    return {.failure = mayBeNew ? StatementFailure::None : StatementFailure::Unauthorized};
}

} // namespace fescuespring
