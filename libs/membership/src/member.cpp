#include "membership/member.h"

#include <array>

namespace fescuespring {

namespace {

constexpr std::array stateNames{"alive", "leaving", "dead", "left"};

} // namespace

const char *toString(MemberState state)
{
    return stateNames[static_cast<std::size_t>(state)];
}

} // namespace fescuespring
