#include "messages/plans.h"

#include "base/enumnames.h"

#include <array>

namespace fescuespring {

namespace {

constexpr std::array durabilityNames{"replicated", "primary"};

} // namespace

const char *toString(Durability durability)
{
    return durabilityNames[static_cast<std::size_t>(durability)];
}

std::optional<Durability> durabilityFromString(std::string_view text)
{
    return detail::enumFromName<Durability>(durabilityNames, text);
}

} // namespace fescuespring
