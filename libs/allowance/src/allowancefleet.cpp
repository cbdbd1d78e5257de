#include "allowance/allowancefleet.h"

#include <algorithm>
#include <set>

namespace fescuespring {

void AllowanceFleet::setLive(const std::vector<AllowanceMember> &members, Instant now,
                             const std::function<bool(const VmId &)> &isHeard)
{
    for (auto &[vm, seen] : m_seen) {
        if (seen.isLive)
            seen.lastLiveAt = now;
        seen.isLive = false;
    }
    m_live.clear();
    for (const AllowanceMember &member : members) {
        m_seen[member.vm] = {member.dataCentre, now, true};
        choose(member);
    }
    m_hasExpired = false;
    std::vector<VmId> all;
    const auto listed = dataCentres();
    for (auto &[vm, seen] : m_seen) {
        all.push_back(vm);
        if (seen.isLive)
            continue;
        const bool isChosen = isHeard && isHeard(vm);
        seen.isLive = isChosen;
        // While the store cannot be reached, the records of a whole data centre expire.
        const bool isListed = std::ranges::find(listed, seen.dataCentre) != listed.end();
        if (!isChosen && isListed)
            continue;
        m_hasExpired = true;
        choose({vm, seen.dataCentre});
    }
    for (auto &[id, dataCentre] : m_live) {
        std::ranges::sort(dataCentre.vms);
        dataCentre.placement = Placement(dataCentre.vms);
    }
    m_all = Placement(all);
    std::erase_if(m_seen, [&](const auto &entry) { return !isCounted(entry.second, now); });
}

void AllowanceFleet::choose(const AllowanceMember &member)
{
    m_live[member.dataCentre].vms.push_back(member.vm);
}

void AllowanceFleet::left(const VmId &vm)
{
    m_seen.erase(vm);
}

std::vector<VmId> AllowanceFleet::counters(const DataCentreId &dataCentre,
                                           const CustomerId &customer) const
{
    const auto found = m_live.find(dataCentre);
    if (found == m_live.end())
        return {};
    return found->second.placement.owners("allowance " + customer.value(), 2);
}

const std::vector<VmId> &AllowanceFleet::liveVms(const DataCentreId &dataCentre) const
{
    static const std::vector<VmId> none;
    const auto found = m_live.find(dataCentre);
    return found == m_live.end() ? none : found->second.vms;
}

std::vector<DataCentreId> AllowanceFleet::dataCentres() const
{
    std::vector<DataCentreId> ids;
    for (const auto &[id, dataCentre] : m_live)
        ids.push_back(id);
    return ids;
}

bool AllowanceFleet::isCounted(const Seen &seen, Instant now) const
{
    return seen.isLive || now - seen.lastLiveAt < departedRetention;
}

std::size_t AllowanceFleet::dataCentreCount(Instant now) const
{
    std::set<DataCentreId> ids;
    for (const auto &[vm, seen] : m_seen) {
        if (isCounted(seen, now))
            ids.insert(seen.dataCentre);
    }
    return std::max<std::size_t>(1, ids.size());
}

std::size_t AllowanceFleet::vmCount(const DataCentreId &dataCentre, Instant now) const
{
    const auto count = std::ranges::count_if(m_seen, [&](const auto &entry) {
        return entry.second.dataCentre == dataCentre && isCounted(entry.second, now);
    });
    return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

bool AllowanceFleet::isAmong(std::size_t count, const CustomerId &customer, const VmId &vm) const
{
    const std::vector<VmId> chosen = m_all.owners("isolated " + customer.value(), count);
    return std::ranges::find(chosen, vm) != chosen.end();
}

} // namespace fescuespring
