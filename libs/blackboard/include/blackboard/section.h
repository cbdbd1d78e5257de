#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace fescuespring {

// One part of the control state. The control thread writes it; any thread may take an immutable
// snapshot.
//
//     Section<ListsStatus> status;
//     status.subscribe([](const ListsStatus &value) {...});    // control thread
//     status.write(value);                                     // control thread
//     std::shared_ptr<const ListsStatus> snapshot = status.snapshot();
template <typename T>
class Section
{
public:
    using Snapshot = std::shared_ptr<const T>;
    using Subscriber = std::function<void(const T &)>;

    // Control thread: publishes a value, then calls the subscribers in order of subscription. A
    // subscriber may write other sections, but not this one.
    void write(T value)
    {
        publish(std::make_shared<const T>(std::move(value)));
    }

    void publish(Snapshot value)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_value = value;
        }
        m_revision.fetch_add(1, std::memory_order_release);
        for (const Subscriber &subscriber : m_subscribers)
            subscriber(*value);
    }

    // Control thread.
    void subscribe(Subscriber subscriber)
    {
        m_subscribers.push_back(std::move(subscriber));
    }

    // Any thread.
    Snapshot snapshot() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }

    // Any thread. Increases with each write.
    std::uint64_t revision() const
    {
        return m_revision.load(std::memory_order_acquire);
    }

private:
    mutable std::mutex m_mutex;
    Snapshot m_value = std::make_shared<const T>();
    std::atomic<std::uint64_t> m_revision = 0;
    std::vector<Subscriber> m_subscribers;
};

// One thread's cached snapshot of a section: current() takes no lock unless the section was written
// since the last call. The returned reference is valid until the next call.
template <typename T>
class SectionReader
{
public:
    explicit SectionReader(const Section<T> &section)
        : m_section(section)
        , m_revision(section.revision())
        , m_snapshot(section.snapshot())
    {}

    const T &current()
    {
        const std::uint64_t revision = m_section.revision();
        if (revision != m_revision) {
            m_revision = revision;
            m_snapshot = m_section.snapshot();
        }
        return *m_snapshot;
    }

private:
    const Section<T> &m_section;
    std::uint64_t m_revision;
    typename Section<T>::Snapshot m_snapshot;
};

} // namespace fescuespring
