#pragma once

#include "base/result.h"
#include "base/types.h"

#include <string>
#include <string_view>

namespace fescuespring {

// Requests a VM's view of the database that the requester regards as the group's primary.
struct VantageRequest
{
    GroupId group;
    DatabaseId database;
};

struct VantageAnswer
{
    VmId vm;

    // Whether the VM has a recent probe of the database; if false, the fields below are invalid.
    bool known = false;
    bool reachable = false;
    Term term;
};

// JSON of the request and the reply. Unknown fields are ignored; no function throws.
std::string encodeVantageRequest(const VantageRequest &request);
Result<VantageRequest> decodeVantageRequest(std::string_view text);
std::string encodeVantageAnswer(const VantageAnswer &answer);
Result<VantageAnswer> decodeVantageAnswer(std::string_view text);

} // namespace fescuespring
