#pragma once

#include "base/timers.h"
#include "logging/log.h"
#include "storefeed/kindsource.h"
#include "storefeed/storemirror.h"

#include <memory>
#include <string>

namespace fescuespring {

// Lists all objects of one kind at an interval, for a kind that changes constantly and whose
// changes may arrive seconds late. Requests current lists at first, then cheaper ones that may be
// old.
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

        // Receives the listed objects.
        StoreMirror &mirror;

        // For this time after the start, current lists are requested at firstInterval.
        Duration freshTime = std::chrono::milliseconds(2500);
        Duration firstInterval = std::chrono::milliseconds(200);
        Duration interval = std::chrono::milliseconds(2000);
    };

    KindPoll(KindSource &store, Options options);
    ~KindPoll();

    // Polls until stop. Can be started and stopped repeatedly.
    void start();
    void stop();

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
