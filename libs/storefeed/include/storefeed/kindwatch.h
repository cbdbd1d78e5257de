#pragma once

#include "base/timers.h"
#include "logging/log.h"
#include "storefeed/kindsource.h"
#include "storefeed/storemirror.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// Follows all objects of one kind: lists them, then watches for changes, and lists again if the
// store no longer has the required history. Failures are retried with backoff; while watches fail,
// the kind is listed instead.
//
//     KindWatch watch(store, {.timers = timers, .log = log, .kind = "servers", ...});
//     watch.start();
//
// Loop thread only. Destroying it ends the watch.
class KindWatch
{
public:
    struct Options
    {
        Timers &timers;
        Log &log;
        std::string kind;

        // Receives the objects and their changes.
        StoreMirror &mirror;

        // How long one request waits for a change. Bounds the delay of a change if the connection
        // becomes unresponsive.
        std::chrono::milliseconds wait{2000};

        // Spreads the retries of different VMs; any number.
        std::uint64_t randomSeed = 1;
    };

    KindWatch(KindSource &store, Options options);
    ~KindWatch();

    // Watches until stop. Can be started and stopped repeatedly.
    void start();
    void stop();

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
