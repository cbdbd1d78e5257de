#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fescuespring {

// One counter or gauge. Thread-safe; lives as long as its Counters object.
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

// The counters of one process, created by name on first use.
//
//     Counters counters;
//     Counter &refused = counters.counter("fescuespring_refused_total", "reason", "queue-full");
//     refused.add();
//     respond(counters.text());
//
// Creating and printing counters takes a lock; changing one does not. There is no global registry:
// a component that needs counters receives a Counters object.
class Counters
{
public:
    Counters();
    ~Counters();
    Counters(const Counters &) = delete;
    Counters &operator=(const Counters &) = delete;

    // Returns the counter with this name and, unless label is empty, this label value. Created at
    // zero on first use. Names match [a-z_]+ and end in _total unless the value is a gauge.
    Counter &counter(std::string_view name, std::string_view label = {},
                     std::string_view labelValue = {});

    // All counters, ordered by name and label, one "name{label="value"} number" per line.
    std::string text() const;

    // Calls visitor with the full name, including the label, and the value of each counter, in the
    // same order.
    void visit(const std::function<void(const std::string &, std::uint64_t)> &visitor) const;

private:
    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace fescuespring
