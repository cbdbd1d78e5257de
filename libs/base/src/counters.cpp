#include "base/counters.h"

#include <map>
#include <mutex>

namespace fescuespring {

struct Counters::Data
{
    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>> counters;
};

Counters::Counters()
    : m_data(std::make_unique<Data>())
{}

Counters::~Counters() = default;

Counter &Counters::counter(std::string_view name, std::string_view label,
                           std::string_view labelValue)
{
    std::string key(name);
    if (!label.empty()) {
        key += '{';
        key += label;
        key += "=\"";
        key += labelValue;
        key += "\"}";
    }
    const std::lock_guard lock(m_data->mutex);
    std::unique_ptr<Counter> &slot = m_data->counters[key];
    if (!slot)
        slot = std::make_unique<Counter>();
    return *slot;
}

std::string Counters::text() const
{
    std::string text;
    visit([&text](const std::string &name, std::uint64_t value) {
        text += name + ' ' + std::to_string(value) + '\n';
    });
    return text;
}

void Counters::visit(const std::function<void(const std::string &, std::uint64_t)> &visitor) const
{
    const std::lock_guard lock(m_data->mutex);
    for (const auto &[name, counter] : m_data->counters)
        visitor(name, counter->value());
}

} // namespace fescuespring
