#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fescuespring {

// One counter or gauge. Any thread may change or read it; it lives as long as its Counters.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    void set(std::uint64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

// The counters of one process: created once by name, then counted without a lock.
//
//     Counters counters;
//     Counter &refused = counters.counter("fescuespring_refused_total", "reason", "queue-full");
//     refused.add();
//     respond(counters.text());
//
// Creating and printing take a lock; changing a counter does not. There is no global registry: who
// needs counters is handed one.
class Counters
{
public:
    Counters();
    ~Counters();
    Counters(const Counters &) = delete;
    Counters &operator=(const Counters &) = delete;

    // The counter of this name and, where label is not empty, this label value. Created at zero on
    // first use. Names are of the form [a-z_]+ and end in _total unless the value is a gauge.
    Counter &counter(std::string_view name, std::string_view label = {},
                     std::string_view labelValue = {});

    // Every counter, ordered by name and label, one "name{label="value"} number" a line.
    std::string text() const;

    // Calls visitor with the full name, label included, and the value of each counter, in order.
    void visit(const std::function<void(const std::string &, std::uint64_t)> &visitor) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
