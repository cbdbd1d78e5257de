#pragma once

#include "store/objectstore.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fescuespring::test {

// The platform's store in virtual time: run answers what is due. Outages, lost answers and answers
// of older versions can be brought about.
class FakeStore : public ObjectStore
{
public:
    bool isDown = false;
    bool isUnreachable = false;

    // Writes from now on that take effect although their answer is lost, and writes that are lost.
    int losesAnswers = 0;
    int losesWrites = 0;

    // Reads that are answered with the version before the newest.
    int answersOld = 0;

    std::uint64_t calls = 0;
    std::uint64_t writes = 0;
    std::chrono::microseconds latency{2000};
    std::vector<PlatformVm> vmList;

    void read(const std::string &key, std::chrono::milliseconds timeout, ReadDone done) override
    {
        answer<StoredObject>(timeout, done, [this, key] { return readNow(key); });
    }

    void list(const std::string &prefix, std::chrono::milliseconds timeout, ListDone done) override
    {
        answer<std::vector<StoredObject>>(timeout, done, [this, prefix] {
            std::vector<StoredObject> objects;
            for (const auto &[key, versions] : m_objects) {
                if (key.starts_with(prefix))
                    objects.push_back(readNow(key));
            }
            return objects;
        });
    }

    void write(const ObjectWrite &write, std::chrono::milliseconds timeout, WriteDone done) override
    {
        ++writes;
        if (losesAnswers > 0 || losesWrites > 0) {
            ++calls;
            if (losesAnswers > 0) {
                --losesAnswers;
                at(m_now + latency, [this, write] { writeNow(write); });
            } else {
                --losesWrites;
            }
            at(m_now + timeout, [done] { done(Error{ErrorCode::Timeout, "no answer"}); });
            return;
        }
        answer<WriteAnswer>(timeout, done, [this, write] { return writeNow(write); });
    }

    void watch(const std::string &key, ObjectVersion after, std::chrono::milliseconds wait,
               ReadDone done) override
    {
        ++calls;
        if (isDown || isUnreachable) {
            refuse(wait, done);
            return;
        }
        m_watches.push_back({key, after, m_now + wait, std::move(done)});
    }

    void vms(std::chrono::milliseconds timeout, VmsDone done) override
    {
        answer<std::vector<PlatformVm>>(timeout, done, [this] { return vmList; });
    }

    // Writes as the platform's own means do.
    void put(const std::string &key, const std::string &value)
    {
        m_objects[key].push_back(value);
    }
    std::string value(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? "" : found->second.back();
    }
    std::uint64_t version(const std::string &key) const
    {
        const auto found = m_objects.find(key);
        return found == m_objects.end() ? 0 : found->second.size();
    }

    void run(Instant now)
    {
        m_now = std::max(m_now, now);
        answerWatches();
        std::vector<Event> due;
        std::erase_if(m_events, [&](const Event &event) {
            if (event.at > m_now)
                return false;
            due.push_back(event);
            return true;
        });
        for (const Event &event : due)
            event.action();
    }

private:
    struct Event
    {
        Instant at;
        std::function<void()> action;
    };
    struct Watch
    {
        std::string key;
        ObjectVersion after;
        Instant until;
        ReadDone done;
    };

    void at(Instant when, std::function<void()> action)
    {
        m_events.push_back({when, std::move(action)});
    }

    template <typename Done>
    void refuse(std::chrono::milliseconds timeout, const Done &done)
    {
        if (isUnreachable)
            at(m_now + timeout, [done] { done(Error{ErrorCode::Unreachable, "cut off"}); });
        else
            at(m_now + latency, [done] { done(Error{ErrorCode::Unavailable, "outage"}); });
    }

    template <typename T, typename Done, typename Action>
    void answer(std::chrono::milliseconds timeout, const Done &done, const Action &action)
    {
        ++calls;
        if (isDown || isUnreachable)
            refuse(timeout, done);
        else
            at(m_now + latency, [done, action] { done(Result<T>(action())); });
    }

    StoredObject readNow(const std::string &key)
    {
        const std::uint64_t newest = version(key);
        if (newest == 0)
            return {key, ObjectVersion(0), ""};
        const bool isOld = answersOld > 0 && newest > 1;
        answersOld -= isOld ? 1 : 0;
        const std::uint64_t shown = newest - (isOld ? 1 : 0);
        return {key, ObjectVersion(shown), m_objects[key][shown - 1]};
    }

    WriteAnswer writeNow(const ObjectWrite &write)
    {
        if (version(write.key) != write.ifVersion.value())
            return {false, ObjectVersion(version(write.key))};
        put(write.key, write.value);
        return {true, ObjectVersion(version(write.key))};
    }

    void answerWatches()
    {
        std::vector<Watch> kept;
        for (Watch &watch : m_watches) {
            if (isDown || isUnreachable)
                refuse(std::chrono::milliseconds(0), watch.done);
            else if (version(watch.key) > watch.after.value() || m_now >= watch.until)
                at(m_now + latency,
                   [this, key = watch.key, done = watch.done] { done(readNow(key)); });
            else
                kept.push_back(std::move(watch));
        }
        m_watches = std::move(kept);
    }

    Instant m_now;
    std::map<std::string, std::vector<std::string>> m_objects;
    std::vector<Event> m_events;
    std::vector<Watch> m_watches;
};

} // namespace fescuespring::test
