#include "store/storeclient.h"

#include <array>

namespace fescuespring {

namespace {

constexpr std::array outcomeNames{"written", "conflict", "unknown"};

} // namespace

const char *toString(WriteOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

} // namespace fescuespring
