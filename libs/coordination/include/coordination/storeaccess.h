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

// Rank, among the live VMs of a data centre, of the reader, which reads the store for the others,
// and of its standby, which reads the store if the reader has no current records.
inline constexpr std::size_t readerRank = 0;
inline constexpr std::size_t standbyRank = 1;

// Decides whether this VM reads the store itself or follows the feed of another VM of its data
// centre, and switches when the followed VM is lost, lags or leaves. Each data centre has one
// reader and one standby, so the number of store calls grows with the data centres and not with the
// VMs. A VM without current records from the store or the followed VM tries any other VM, and the
// store periodically; while no VM has current records, each VM reads the store about once a second
// and does not watch it.
//
//     StoreAccess access(options);
//     access.start();
//     access.readRecords([](const Result<DatedRecords> &records) {...});
//
// Must be used on the loop thread only.
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

        // The live VMs.
        std::function<std::vector<VmRecord>()> vms = {};

        // Starts and stops updating the mirror from the store.
        std::function<void()> startWatching = {};
        std::function<void()> stopWatching = {};

        // Reads the leadership records from the store.
        std::function<void(ReadDone)> readFromStore = {};

        // Called when the leadership records should be read again.
        std::function<void()> onWakeUp = {};
    };

    explicit StoreAccess(Options options);
    ~StoreAccess();

    // Starts by reading the store directly.
    void start();

    // Reads the leadership records from the followed VM or the store.
    void readRecords(ReadDone done);

    bool isFollowing() const
    {
        return m_mode == Mode::Following;
    }

    // The VM from which this VM currently receives objects, or tries to; "store" if it reads the
    // store.
    std::string source() const
    {
        return m_follower ? m_followed.value() : "store";
    }

private:
    enum class Mode {
        // Reads and watches the store.
        Direct,

        // Receives everything from another VM.
        Following,

        // Has no current records.
        Searching,
    };

    void update();
    std::size_t ownRank(const std::vector<VmRecord> &neighbours) const;
    bool isReader(const std::vector<VmRecord> &vms) const;
    const VmRecord *vmToFollow(const std::vector<VmRecord> &vms,
                               const std::vector<VmRecord> &neighbours);
    Duration randomPause(Duration mean);
    std::vector<VmRecord> vmsOfDataCentre(const std::vector<VmRecord> &vms) const;
    void tryFollowing(const VmRecord &vm);
    void follow();
    void startSearch(const std::string &reason);
    void switchToDirect();
    void readDirectly(ReadDone done);
    void queryFollowed(ReadDone done);
    void removeFollower();

    Options m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<FeedFollower> m_follower;
    VmId m_followed;
    Mode m_mode = Mode::Direct;

    // Whether the followed VM is not the reader of this data centre, so that following it is only
    // temporary.
    bool m_isTemporary = false;
    Instant m_followedSince;
    Instant m_lastCurrentAt;

    // Initially odd, so that the reader is tried before its standby.
    std::size_t m_attempts = 1;
    bool m_isReader = false;

    // When the store last answered this VM, and the earliest time of the next read while searching.
    Instant m_lastStoreAnswerAt;
    Instant m_nextStoreReadAt;
    Timers::Id m_timer = 0;
};

} // namespace fescuespring
