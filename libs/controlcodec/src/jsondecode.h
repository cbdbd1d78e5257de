#pragma once

#include "base/result.h"

#include <boost/json.hpp>

#include <exception>
#include <string_view>

namespace fescuespring {

// Calls decode with the JSON object in text and turns Boost.JSON's exceptions into errors.
template <typename T, typename Decode>
Result<T> decodeObjectWith(std::string_view text, Decode decode)
{
    try {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
        if (error)
            return Error{ErrorCode::Malformed, error.message()};
        return Result<T>(decode(value.as_object()));
    } catch (const std::exception &error) {
        return Error{ErrorCode::Malformed, error.what()};
    }
}

} // namespace fescuespring
