#pragma once

#include "base/timers.h"
#include "store/objectstore.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// Reads one object of the store at an interval, and passes each answer on with the time at which it
// was requested: every change that the store acknowledged before that time is in the answer. A
// watch without changes does not show that, as its connection may be silent.
//
//     ObjectPoll poll(store, {.timers = timers, .key = "config/main", .onRead = ...});
//     poll.start();
//
// Loop thread only. Destroying it ends the polls.
class ObjectPoll
{
public:
    struct Options
    {
        Timers &timers;
        std::string key;
        Duration interval = std::chrono::seconds(1);

        // Whether the object has to be read now. Without it, it always has to be.
        std::function<bool()> isNeeded = {};

        // Receives each answer. The object does not exist if its version is 0.
        std::function<void(const StoredObject &object, Instant askedAt)> onRead;
    };

    ObjectPoll(ObjectStore &store, Options options);
    ~ObjectPoll();

    // Polls until stop, the first time at once. Can be started and stopped repeatedly.
    void start();
    void stop();

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
