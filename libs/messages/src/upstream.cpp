#include "messages/upstream.h"

#include "base/enumnames.h"

#include <array>
#include <string_view>

namespace fescuespring {

namespace {

constexpr std::array roleNames{"primary", "replica"};
constexpr std::array callKindNames{"run", "begin", "statement", "commit", "rollback"};
constexpr std::array callOutcomeNames{"done", "refused", "failed"};
constexpr std::array callRefusalNames{"none",     "lower-term", "not-primary", "connection-limit",
                                      "not-open", "busy"};

} // namespace

const char *toString(Role role)
{
    return roleNames[static_cast<std::size_t>(role)];
}

std::optional<Role> roleFromString(std::string_view text)
{
    return detail::enumFromName<Role>(roleNames, text);
}

const char *toString(CallKind kind)
{
    return callKindNames[static_cast<std::size_t>(kind)];
}

std::optional<CallKind> callKindFromString(std::string_view text)
{
    return detail::enumFromName<CallKind>(callKindNames, text);
}

const char *toString(CallOutcome outcome)
{
    return callOutcomeNames[static_cast<std::size_t>(outcome)];
}

std::optional<CallOutcome> callOutcomeFromString(std::string_view text)
{
    return detail::enumFromName<CallOutcome>(callOutcomeNames, text);
}

const char *toString(CallRefusal refusal)
{
    return callRefusalNames[static_cast<std::size_t>(refusal)];
}

std::optional<CallRefusal> callRefusalFromString(std::string_view text)
{
    return detail::enumFromName<CallRefusal>(callRefusalNames, text);
}

} // namespace fescuespring
