#pragma once

#include "base/types.h"

#include <string>

namespace fescuespring::detail {

inline DatabaseId termDatabase(std::size_t index)
{
    return DatabaseId("d" + std::to_string(index));
}

inline std::size_t termDatabaseIndex(const DatabaseId &database)
{
    return static_cast<std::size_t>(database.value().back() - '0');
}

} // namespace fescuespring::detail
