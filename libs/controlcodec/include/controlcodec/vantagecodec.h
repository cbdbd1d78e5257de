#pragma once

#include "base/result.h"
#include "base/types.h"

#include <string>
#include <string_view>

namespace fescuespring {

// Asks a VM what it sees of the database that the asker takes for the group's primary.
struct VantageRequest
{
    GroupId group;
    DatabaseId database;
};

struct VantageAnswer
{
    VmId vm;

    // False until the VM has probed the database lately; the rest then says nothing.
    bool known = false;
    bool reachable = false;
    Term term;
};

// JSON of both. Unknown fields are ignored; no function throws.
std::string encodeVantageRequest(const VantageRequest &request);
Result<VantageRequest> decodeVantageRequest(std::string_view text);
std::string encodeVantageAnswer(const VantageAnswer &answer);
Result<VantageAnswer> decodeVantageAnswer(std::string_view text);

} // namespace fescuespring
