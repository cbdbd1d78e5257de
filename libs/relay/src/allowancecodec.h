#pragma once

#include "allowance/allowancemessages.h"

#include <boost/json/object.hpp>

#include <optional>

namespace fescuespring::detail {

// JSON forms of the messages about allowances. Fields with their default value are left out.
boost::json::object encodeAllowanceRequest(const AllowanceRequest &request);
boost::json::object encodeAllowanceAnswer(const AllowanceAnswer &answer);

// Empty if a field has the wrong type or is out of range.
std::optional<AllowanceRequest> decodeAllowanceRequest(const boost::json::object &fields);
std::optional<AllowanceAnswer> decodeAllowanceAnswer(const boost::json::object &fields);

} // namespace fescuespring::detail
