#include "customers/customertable.h"

#include <utility>

namespace fescuespring {

CustomerTable::CustomerTable(std::vector<Customer> customers)
    : m_customers(std::move(customers))
{
    for (std::size_t index = 0; index < m_customers.size(); ++index) {
        m_byId.emplace(m_customers[index].id, index);
        for (const KeyDigest &key : m_customers[index].keys)
            m_byKey.emplace(key, index);
    }
}

const Customer *CustomerTable::findByKey(const KeyDigest &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_customers[found->second];
}

const Customer *CustomerTable::find(const CustomerId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &m_customers[found->second];
}

} // namespace fescuespring
