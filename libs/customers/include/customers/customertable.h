#pragma once

#include "customers/customer.h"

#include <map>
#include <vector>

namespace fescuespring {

// The customers of one configuration, found by id or by one of their keys.
//
//     const CustomerTable table(configuration.customers);
//     const Customer *customer = table.findByKey(digest);
//
// Pointers stay valid as long as the table.
class CustomerTable
{
public:
    CustomerTable() = default;
    explicit CustomerTable(std::vector<Customer> customers);

    // Null if no customer holds the key.
    const Customer *findByKey(const KeyDigest &key) const;
    const Customer *find(const CustomerId &id) const;

    // Whether there are customers, so that callers must be identified.
    bool isEmpty() const
    {
        return m_customers.empty();
    }
    const std::vector<Customer> &customers() const
    {
        return m_customers;
    }

private:
    std::vector<Customer> m_customers;
    std::map<CustomerId, std::size_t> m_byId;
    std::map<KeyDigest, std::size_t> m_byKey;
};

} // namespace fescuespring
