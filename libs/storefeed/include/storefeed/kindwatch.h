#pragma once

#include "base/timers.h"
#include "logging/log.h"
#include "storefeed/kindsource.h"
#include "storefeed/storemirror.h"

#include <functional>
#include <memory>
#include <string>

namespace fescuespring {

// Follows all objects of one kind: lists them, then watches, and lists anew where the store has
// forgotten its history. Failures are tried again with backoff.
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

        // Where what is seen goes.
        StoreMirror &mirror;

        // How long one question waits for a change. Bounds how late a change is seen where the
        // connection goes silent.
        std::chrono::milliseconds wait{2000};

        // Spreads the retries of VMs; any number.
        std::uint64_t randomSeed = 1;
    };

    KindWatch(KindSource &store, Options options);
    ~KindWatch();

    // Lists and watches until stop; both may be called again.
    void start();
    void stop();

private:
    struct Data;
    std::shared_ptr<Data> m_data;
};

} // namespace fescuespring
