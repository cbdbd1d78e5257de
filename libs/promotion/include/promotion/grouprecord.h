#pragma once

#include "base/result.h"
#include "messages/upstream.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuespring {

// How far the change of primary is that a group's record tells of.
enum class RecordPhase {
    // A promoter has taken the term; no database need be its primary yet, or ever.
    Claimed,

    // primary was promoted under the term.
    Stable,
};

const char *toString(RecordPhase phase);

// A group's object in the platform's store. It gives each term to one promoter and tells VMs that
// start which primary to look for. The databases' own statuses are the last word; the record may
// trail behind them.
struct GroupRecord
{
    Term term = {};

    // Who took the term, and a number that tells its attempts apart when an answer was lost.
    VmId promoter = {};
    std::uint64_t attempt = 0;

    RecordPhase phase = RecordPhase::Claimed;

    // Primary of the last term that had one, and the terms up to it.
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

// Text of a record, one "name value" a line; unknown names are passed over when it is read.
std::string encodeRecord(const GroupRecord &record);
Result<GroupRecord> decodeRecord(std::string_view text);

} // namespace fescuespring
