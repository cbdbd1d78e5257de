#include "relay/customerowners.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace fescuespring {

CustomerShares::CustomerShares(const std::map<CustomerId, double> &operationsPerSecond)
{
    double sum = 0;
    for (const auto &[customer, operations] : operationsPerSecond)
        sum += std::max(operations, 0.0);
    if (!std::isfinite(sum) || sum <= 0)
        return;
    for (const auto &[customer, operations] : operationsPerSecond)
        m_shares[customer] = std::max(operations, 0.0) / sum;
}

double CustomerShares::share(const CustomerId &customer) const
{
    const auto found = m_shares.find(customer);
    return found == m_shares.end() ? 0 : found->second;
}

double CustomerShares::weight(const CustomerId &customer) const
{
    constexpr double minimumWeight = 1;
    const auto found = m_shares.find(customer);
    if (found == m_shares.end())
        return 1;
    return std::max(found->second * static_cast<double>(m_shares.size()), minimumWeight);
}

CustomerOwners::CustomerOwners(const DatabaseId &database, std::vector<VmRecord> owners)
    : m_database(database)
    , m_owners(std::move(owners))
{
    std::ranges::sort(m_owners, {}, [](const VmRecord &record) { return record.vm; });
    std::vector<VmId> names;
    names.reserve(m_owners.size());
    for (const VmRecord &owner : m_owners)
        names.push_back(owner.vm);
    m_placement = Placement(names);
}

std::vector<const VmRecord *> CustomerOwners::order(const CustomerId &customer, double share,
                                                    const VmId &self) const
{
    std::vector<const VmRecord *> order;
    order.reserve(m_owners.size());
    const std::string job = "customer " + customer.value() + ' ' + m_database.value();
    for (const std::size_t place : m_placement.ownerPlaces(job, m_owners.size()))
        order.push_back(&m_owners[place]);
    if (order.empty())
        return order;
    const auto used =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(order.size())));
    const auto end = order.begin()
                     + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(used, 1, order.size()));
    const auto findUsed = [&](const VmId &vm) {
        return std::find_if(order.begin(), end,
                            [&vm](const VmRecord *owner) { return owner->vm == vm; });
    };
    auto first = findUsed(self);
    if (first == end) {
        const std::string ownJob = "asks " + self.value() + ' ' + job;
        for (const std::size_t place : m_placement.ownerPlaces(ownJob, m_owners.size())) {
            first = findUsed(m_owners[place].vm);
            if (first != end)
                break;
        }
    }
    std::rotate(order.begin(), first, end);
    return order;
}

} // namespace fescuespring
