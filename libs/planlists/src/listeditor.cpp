#include "planlists/listeditor.h"

#include <array>

namespace fescuespring {

namespace {

constexpr std::array outcomeNames{"done", "conflict", "refused", "unknown", "not-done"};

} // namespace

const char *toString(EditOutcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

std::string describe(const ThreeWay &conflict)
{
    return conflict.what + " was changed by another operator meanwhile\n  base:   " + conflict.base
           + "\n  theirs: " + conflict.theirs + "\n  yours:  " + conflict.yours + "\n";
}

} // namespace fescuespring
