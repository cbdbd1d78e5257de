#pragma once

#include "base/result.h"
#include "leadership/departurerecord.h"
#include "messages/upstream.h"
#include "store/objectstore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// The primary of a group, as an object in the store. The record is written before a change of
// primary starts and after it has taken effect, so a VM that has recently read an unchanged record
// can rule out that another database leads.
struct LeadershipRecord
{
    GroupId group;

    // A change of primary is announced: answers of the primary alone no longer suffice to
    // acknowledge anything.
    bool isChanging = false;

    // The primary and its term; during a change, those of the previous primary.
    DatabaseId primary;
    Term term;

    // Version of the stored object; 0 if the object does not exist.
    ObjectVersion version = {};

    // Epoch of the store in which the record was written. A record that a restore of the store
    // brought back is of an earlier one, and may lack changes.
    StoreEpoch epoch = {};

    // The last entry of the log with which the term began: no entry beyond it survived the
    // promotion. Empty if unknown, as in records of earlier versions.
    std::optional<LogPoint> base = {};

    bool operator==(const LeadershipRecord &) const = default;
};

// The VM that may promote databases, as an object in the store. The version of the object is the
// fencing token.
struct PromotionLock
{
    VmId holder;

    // Distinguishes runs of the same VM.
    std::string incarnation;

    ObjectVersion version = {};

    // Epoch of the store in which the lock was written. A lock of an earlier epoch is not held.
    StoreEpoch epoch = {};
};

// All leadership records, those of departures and the promotion lock at one moment.
struct LeadershipSnapshot
{
    std::vector<LeadershipRecord> records;
    std::optional<PromotionLock> promotionLock;
    std::vector<DepartureRecord> departures = {};

    // Epoch of the store at that moment.
    StoreEpoch epoch = {};

    // Epoch in which the installation started for the first time: in that epoch, a group without a
    // record never had a change of primary. Empty if it was not written, or was lost.
    std::optional<StoreEpoch> origin = {};

    // Keys of objects that are none of these, as another writer may leave.
    std::vector<std::string> ignoredKeys = {};
};

// Keys of the objects in the store.
inline constexpr std::string_view leadershipKeyPrefix = "fescue-leadership/";
std::string leadershipKey(const GroupId &group);
std::string promotionLockKey();
std::string originKey();

// The objects as JSON.
std::string encodeLeadership(const LeadershipRecord &record);
std::string encodePromotionLock(const PromotionLock &lock);
std::string encodeOrigin(StoreEpoch origin);

// Decodes a listing of the objects. If one of them is unreadable, the whole snapshot is Malformed,
// as nothing may be concluded from part of them; objects with other names are ignored. The epoch is
// that of the listing.
Result<LeadershipSnapshot> decodeSnapshot(const std::vector<StoredObject> &objects,
                                          StoreEpoch epoch = {});

} // namespace fescuespring
