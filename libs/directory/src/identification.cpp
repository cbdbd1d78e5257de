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

Identification identify(const RouteTable &routes, const Route &route, const KeyDigest &key,
                        Instant now)
{
    const CustomerTable &customers = routes.customers();
    if (route.isPublic || customers.isEmpty())
        return {};
    // A key that is unknown here may have been added since the last confirmation.
    if (!routes.isCurrent(now))
        return {.failure = StatementFailure::Busy};
    const Customer *customer = customers.findByKey(key);
    if (!customer)
        return {.failure = StatementFailure::Unauthorized};
    return {.customer = customer->id};
}

} // namespace fescuespring
