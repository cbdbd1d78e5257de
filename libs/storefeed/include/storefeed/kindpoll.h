#pragma once

#include "base/timers.h"
#include "logging/log.h"
#include "storefeed/kindsource.h"
#include "storefeed/storemirror.h"

#include <memory>
#include <string>

namespace fescuespring {

// Lists all objects of one kind again and again, for a kind that changes all the time and whose
// changes may be seen seconds late. Fresh lists at first, then cheap ones that may be old.
//
//     KindPoll poll(store, {.timers = timers, .log = log, .kind = "fescue-vms", .mirror = mirror});
//     poll.start();
//
// Loop thread only. Destroying it ends the polls.
class KindPoll
{
public:
    struct Options
    {
        Timers &timers;
        Log &log;
        std::string kind;

        // Where what is seen goes.
        StoreMirror &mirror;

        // From the start, for so long, fresh lists are read at the first interval.
        Duration freshTime = std::chrono::milliseconds(2500);
        Duration firstInterval = std::chrono::milliseconds(200);
        Duration interval = std::chrono::milliseconds(2000);
    };

    KindPoll(KindSource &store, Options options);
    ~KindPoll();

    // Lists until stop; both may be called again.
    void start();
    void stop();

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
