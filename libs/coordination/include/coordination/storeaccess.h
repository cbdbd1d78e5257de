#pragma once

#include "base/counters.h"
#include "base/timers.h"
#include "logging/log.h"
#include "net/eventloop.h"
#include "storefeed/feedfollower.h"
#include "storefeed/feedreader.h"
#include "storefeed/storemirror.h"
#include "vmregistry/vmregistry.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace fescuespring {

// How many VMs of a data centre with this many VMs read the store themselves: two, so that one may
// be lost, where there are enough to follow them.
std::size_t storeReaderCount(std::size_t vms);

// Decides whether this VM reads the store itself or follows another VM of its data centre, and
// changes over when the one it follows is lost, falls behind or leaves. Store calls so grow with
// the data centres and not with the VMs. A VM that the store turns away follows any other VM, and
// tries the store again from time to time.
//
//     StoreAccess access(options);
//     access.start();
//     access.readRecords([](const Result<DatedRecords> &records) {...});
//
// Loop thread only.
class StoreAccess
{
public:
    using ReadDone = std::function<void(const Result<DatedRecords> &)>;

    struct Options
    {
        EventLoop &loop;
        Timers &timers;
        Log &log;
        Counters &counters;
        StoreMirror &mirror;
        VmId self;
        DataCentreId dataCentre;
        std::string localIp = {};
        std::uint64_t randomSeed = 1;

        // The living VMs.
        std::function<std::vector<VmRecord>()> vms = {};

        // Begins and ends keeping the mirror up to date from the store.
        std::function<void()> startWatching = {};
        std::function<void()> stopWatching = {};

        // Reads the records of leadership from the store.
        std::function<void(ReadDone)> readFromStore = {};

        // The records changed.
        std::function<void()> onNudge = {};
    };

    explicit StoreAccess(Options options);
    ~StoreAccess();

    // Reads the store itself at first.
    void start();

    // Reads the records of leadership from wherever this VM has them.
    void readRecords(ReadDone done);

    bool isFollowing() const
    {
        return m_isFollowing;
    }

private:
    void consider();
    void considerAsReader(const std::vector<VmRecord> &vms);
    bool isStoreLost() const;
    void seekRefuge(const std::vector<VmRecord> &vms);
    void tryFollowing(const VmRecord &reader);
    void follow();
    void readDirectly(ReadDone done);
    void askReader(ReadDone done);
    void giveUpFollowing(const std::string &reason);
    void stopFollowing(const char *reason);

    Options m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<FeedFollower> m_follower;
    VmId m_reader;
    bool m_isFollowing = false;
    std::size_t m_nextReader = 0;
    Instant m_followFrom;

    // When the store last answered this VM, and until when it does without it.
    Instant m_lastAnswer;
    Instant m_refugeUntil;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
