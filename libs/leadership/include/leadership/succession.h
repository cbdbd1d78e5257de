#pragma once

#include "base/counters.h"
#include "base/timers.h"
#include "leadership/leadershipview.h"
#include "logging/log.h"
#include "statements/statement.h"
#include "store/objectstore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuespring {

// What the order to promote a database came to.
enum class PromotionOutcome {
    Accepted,

    // The database cannot be promoted now.
    Refused,

    // Nothing was done; the call may be repeated.
    NotDone,

    // No answer: it may take effect yet.
    Unknown,
};

const char *toString(PromotionOutcome end);

// A database that could lead its group.
struct SuccessionCandidate
{
    DatabaseId database;
    bool isDraining = false;

    // It takes itself for the primary.
    bool reportsPrimaryRole = false;

    // VMs that hear nothing from it, of vms in all.
    std::size_t vmsNotReached = 0;
    std::size_t vms = 1;
};

// One life of a VM.
struct VmIncarnation
{
    VmId vm;
    std::string incarnation;
};

// What a Succession asks of the VM that it runs in.
struct SuccessionPorts
{
    // Groups to be looked at in this tick; each that has databases is among them once a second or
    // so.
    std::function<std::vector<GroupId>()> groups;
    std::function<std::vector<SuccessionCandidate>(const GroupId &)> databases;

    // How many databases the group has, those that were lost lately among them.
    std::function<std::size_t(const GroupId &)> groupSize;

    // Sends a statement to a database; nothing where no answer came in time.
    std::function<void(const DatabaseId &, const Statement &, Duration timeout,
                       std::function<void(const std::optional<StatementReply> &)>)>
            command;

    std::function<void(const ObjectWrite &, ObjectStore::WriteDone)> write;

    // Orders the promotion of a database under a fencing token. No answer within a second counts
    // as unknown, and the call is cut off then.
    std::function<void(const GroupId &, const DatabaseId &, std::uint64_t fencingToken,
                       std::function<void(PromotionOutcome)>)>
            requestPromotion;

    // Reads the records anew, soon.
    std::function<void()> refresh;

    // After a change was announced: asks the store who may hold a lease without having read of it,
    // and calls back where that is known. May be empty; the lease is waited for then.
    std::function<void(std::function<void(std::vector<VmIncarnation>)>)> leaseHolders = {};

    // Whether a VM has said that it has read of a change, or of a later one of the group.
    std::function<bool(const VmIncarnation &, const GroupId &, ObjectVersion announcement)>
            hasRead = {};

    // This VM's place among the living ones, from 0; spreads takeovers in time.
    std::function<std::size_t()> rank;
};

struct SuccessionOptions
{
    Timers &timers;
    Log &log;
    Counters &counters;
    LeadershipView &view;
    VmId self;

    // Differs between two lives of this VM.
    std::string incarnation;
};

namespace detail {
class LeadershipChange;
}

// Replaces the primaries of all groups where that is due, while this VM holds the duty; takes the
// duty over where its holder leaves a due change undone. The order of things makes it safe:
//
// 1. the holder writes that a change of the group begins;
// 2. it waits until whoever has not read that cannot trust what it read before, or until everybody
//    has said that it was read;
// 3. it stops the old primary where that can be reached, and has a majority of the databases hold
// for
//    a later term, so that nobody can show any more that the old primary leads;
// 4. it orders the promotion of the furthest log, under the version of the duty as fencing token;
// 5. when the database says that it leads, it writes that down.
//
// A holder that has not read the duty as its own within a lease does nothing; one that has taken it
// over from another waits until that one's tenure and calls in flight are over.
//
//     succession.tick();   // every 100 ms or so
//
// One thread only.
class Succession
{
public:
    Succession(SuccessionOptions options, SuccessionPorts ports);
    ~Succession();
    Succession(const Succession &) = delete;
    Succession &operator=(const Succession &) = delete;

    void tick();

    // Gives the duty back, as before a stop, unless a change is under way. Takes up no change any
    // more.
    void release();

    // Whether this VM holds the duty by what it has read lately.
    bool holdsDuty() const;

private:
    friend class detail::LeadershipChange;

    // Why a group needs another primary.
    enum class Need {
        None,
        Planned,
        Lost,
        Unfinished,
    };

    Need need(const GroupId &group) const;
    void consider(const GroupId &group);
    Duration patience(bool isAnnounced) const;
    void noteHolder();
    void takeDuty(Instant neededSince, bool isAnnounced);
    bool mayOrder() const;
    void demoteFormer(const GroupId &group);
    void changeEnded(const GroupId &group);

    SuccessionOptions m_options;
    SuccessionPorts m_ports;
    std::map<GroupId, Instant> m_neededSince;
    std::map<GroupId, std::shared_ptr<detail::LeadershipChange>> m_changes;
    std::map<DatabaseId, Instant> m_demotedAt;
    bool m_isTaking = false;
    ObjectVersion m_dutyVersion;

    // The holder as last read, and since when.
    ObjectVersion m_seenDutyVersion;
    Instant m_holderSince;
    Instant m_mayOrderFrom;
};

} // namespace fescuespring
