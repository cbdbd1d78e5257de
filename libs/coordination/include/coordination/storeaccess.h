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

// Place of the VM of a data centre that reads the store for the others, and of its standby, which
// reads it where the first one has nothing fresh.
inline constexpr std::size_t readerRank = 0;
inline constexpr std::size_t standbyRank = 1;

// Decides whether this VM reads the store itself or follows another VM of its data centre, and
// changes over when the one it follows is lost, falls behind or leaves. One VM of a data centre
// reads, another is its standby, so store calls grow with the data centres and not with the VMs. A
// VM that has nothing fresh, from the store or the VM that it follows, asks any other VM, and the
// store from time to time; while nobody has anything fresh the store is asked by each VM about once
// a second, and not watched.
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
        std::function<void()> onWakeUp = {};
    };

    explicit StoreAccess(Options options);
    ~StoreAccess();

    // Reads the store itself at first.
    void start();

    // Reads the records of leadership from wherever this VM has them.
    void readRecords(ReadDone done);

    bool isFollowing() const
    {
        return m_mode == Mode::Following;
    }

private:
    enum class Mode {
        // Reads and watches the store.
        Direct,

        // Gets everything from another VM.
        Following,

        // Has nothing fresh.
        Seeking,
    };

    void consider();
    std::size_t ownRank(const std::vector<VmRecord> &near) const;
    bool isReader(const std::vector<VmRecord> &vms) const;
    const VmRecord *leaderToFollow(const std::vector<VmRecord> &vms,
                                   const std::vector<VmRecord> &near);
    Duration drawPause(Duration mean);
    std::vector<VmRecord> nearVms(const std::vector<VmRecord> &vms) const;
    void tryFollowing(const VmRecord &vm);
    void follow();
    void seek(const std::string &reason);
    void enterDirect();
    void readDirectly(ReadDone done);
    void askFollowed(ReadDone done);
    void dropFollower();

    Options m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<FeedFollower> m_follower;
    VmId m_followed;
    Mode m_mode = Mode::Direct;

    // Whether the VM that is followed now is one of the readers; else it is only a stopgap.
    bool m_isStopgap = false;
    Instant m_followedSince;
    Instant m_lastFresh;

    // Odd at first, so that the reader comes before its standby.
    std::size_t m_attempts = 1;
    bool m_isReader = false;

    // When the store last answered this VM, and when it is to be asked again while seeking.
    Instant m_lastAnswer;
    Instant m_askStoreFrom;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
