#pragma once

#include "base/result.h"
#include "distribution/distribution.h"

#include <string>
#include <string_view>

namespace fescuespring {

// JSON of plan list pulls between VMs. Unknown fields are ignored; no function throws.
std::string encodeListsRequest(const ListsRequest &request);
Result<ListsRequest> decodeListsRequest(std::string_view text);
std::string encodeListsAnswer(const ListsAnswer &answer);
Result<ListsAnswer> decodeListsAnswer(std::string_view text);

} // namespace fescuespring
