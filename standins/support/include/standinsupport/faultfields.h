#pragma once

#include "base/result.h"
#include "base/types.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace fescuespring {

// Where a fault's value stands. A Duration is whole milliseconds in JSON; an optional number takes
// null as well.
using FaultTarget = std::variant<bool *, double *, Duration *, std::uint64_t *,
                                 std::optional<std::uint32_t> *, std::set<std::string> *>;

// One field of the JSON body of /control/faults.
struct FaultField
{
    std::string_view name;
    FaultTarget target;
};

// Sets the fields that stand in a JSON object; the others keep their values. An unknown field or a
// value of the wrong type is an error, after which some targets may have been set: read into a
// copy.
std::optional<Error> readFaults(std::string_view body, std::span<const FaultField> fields);

// The JSON object of all fields.
std::string faultsText(std::span<const FaultField> fields);

} // namespace fescuespring
