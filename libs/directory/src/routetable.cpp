#include "directory/routetable.h"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuespring {

const char *toString(ReadConsistency consistency)
{
    static constexpr std::array names{"primary", "bounded-staleness", "read-your-writes"};
    return names[static_cast<std::size_t>(consistency)];
}

bool RouteTable::apply(RouteConfiguration configuration)
{
    if (m_isLoaded && configuration.version <= m_configuration.version)
        return false;
    m_isLoaded = true;
    m_configuration = std::move(configuration);
    applyCustomers();
    m_routes.clear();
    for (const Route &route : m_configuration.routes)
        m_routes.emplace(route.name, route);
    return true;
}

void RouteTable::applyCustomers()
{
    for (const Customer &customer : m_customers.customers())
        m_removedKeys.insert(customer.keys.begin(), customer.keys.end());
    m_customers = CustomerTable(m_configuration.customers);
    m_areCallersIdentified = m_areCallersIdentified || hasCustomerList();
    std::erase_if(m_removedKeys,
                  [this](const KeyDigest &key) { return m_customers.findByKey(key); });
}

void RouteTable::confirm(std::uint64_t version, Instant at)
{
    if (m_isLoaded && version <= m_configuration.version)
        m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
}

bool RouteTable::isCurrent(Instant now) const
{
    if (!needsConfirmation())
        return true;
    return m_confirmedAt && now - *m_confirmedAt <= *m_confirmationBound;
}

const Route *RouteTable::find(const RouteName &name) const
{
    const auto found = m_routes.find(name);
    return found == m_routes.end() ? nullptr : &found->second;
}

} // namespace fescuespring
