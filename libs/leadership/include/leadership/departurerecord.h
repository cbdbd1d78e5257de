#pragma once

#include "base/result.h"
#include "base/types.h"
#include "store/objectstore.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescuespring {

// A database that has announced that it is leaving. It may hold commits that no other database has
// received, until another database takes its address and with that its log.
struct LeavingDatabase
{
    DatabaseId database;
    Endpoint endpoint;

    // Reported start time in ms since 1970; distinguishes its incarnations.
    std::int64_t startedAt = 0;

    bool operator==(const LeavingDatabase &) const = default;
};

// The databases of a group that are leaving or have left recently, as an object in the store, so
// that a VM that starts later counts them.
struct DepartureRecord
{
    GroupId group;

    // Ordered by name.
    std::vector<LeavingDatabase> databases;

    // Version of the stored object; 0 if the object does not exist.
    ObjectVersion version = {};
};

// Key of the object: the prefix and the name of the group.
inline constexpr std::string_view departureNamePrefix = "leaving-";
std::string departureKey(const GroupId &group);

// The object as JSON. An object that is unreadable is Malformed.
std::string encodeDepartures(const DepartureRecord &record);
Result<DepartureRecord> decodeDepartures(const GroupId &group, const StoredObject &object);

} // namespace fescuespring
