#pragma once

#include "base/result.h"
#include "messages/upstream.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// State of the change of primary that a group's record describes.
enum class RecordPhase {
    // A promoter has claimed the term; a primary for it may not exist yet and may never exist.
    Claimed,

    // primary was promoted under the term.
    Stable,
};

const char *toString(RecordPhase phase);

// A group's object in the platform's store. It grants each term to a single promoter and gives
// starting VMs the last known primary. The statuses of the databases are authoritative; the record
// may lag behind them.
struct GroupRecord
{
    Term term = {};

    // The VM that claimed the term, and a random number by which it recognizes its own claim when
    // the store's reply was lost.
    VmId promoter = {};
    std::uint64_t attempt = 0;

    RecordPhase phase = RecordPhase::Claimed;

    // Primary of the last term that had one, and the history of terms up to it.
    DatabaseId primary = {};
    TermHistory history = {};

    bool operator==(const GroupRecord &) const = default;
};

// A record and the version of the object it was read from.
struct StoredRecord
{
    GroupRecord record = {};
    ObjectVersion version = {};
};

// Serializes a record as one "name value" pair per line; decoding skips unknown names.
std::string encodeRecord(const GroupRecord &record);
Result<GroupRecord> decodeRecord(std::string_view text);

} // namespace fescuespring
