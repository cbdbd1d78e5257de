#pragma once

#include "base/result.h"
#include "messages/upstream.h"
#include "store/objectstore.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// Who leads a group, as an object of the store. The record is written before a change of primary
// begins and after it has taken effect, so that a VM which has read an unchanged record lately
// knows that no other database leads.
struct LeadershipRecord
{
    GroupId group;

    // A change is announced: nothing may be acknowledged on the word of the primary any more.
    bool isChanging = false;

    // The primary, and the term that it leads; while moving those of before.
    DatabaseId primary;
    Term term;

    // Version of the stored object; 0 if it was never written.
    ObjectVersion version = {};

    bool operator==(const LeadershipRecord &) const = default;
};

// Which VM may promote, as an object of the store. The object's version is the fencing token.
struct DutyRecord
{
    VmId holder;

    // Tells the lives of one VM apart.
    std::string incarnation;

    ObjectVersion version = {};
};

// Everything of the kind at one moment.
struct LeadershipSnapshot
{
    std::vector<LeadershipRecord> records;
    std::optional<DutyRecord> promotionLock;
};

// Keys of the objects.
inline constexpr std::string_view leadershipKeyPrefix = "fescue-leadership/";
std::string leadershipKey(const GroupId &group);
std::string promotionLockKey();

// JSON texts.
std::string encodeLeadership(const LeadershipRecord &record);
std::string encodeDuty(const DutyRecord &record);

// The snapshot of listed objects. An object that cannot be read makes the whole snapshot
// Malformed, as nothing may be concluded from a part.
Result<LeadershipSnapshot> decodeSnapshot(const std::vector<StoredObject> &objects);

} // namespace fescuespring
