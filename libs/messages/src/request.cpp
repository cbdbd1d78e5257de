#include "messages/request.h"

#include "base/enumnames.h"

#include <array>
#include <string_view>

namespace fescuespring {

namespace {

constexpr std::array accessNames{"read", "write"};
constexpr std::array lengthNames{"unknown", "short", "long"};
constexpr std::array outcomeNames{"done", "not-run", "unknown"};
constexpr std::array reasonNames{
        "none",
        "malformed",
        "too-large",
        "too-many-connections",
        "unknown-customer",
        "unknown-group",
        "invalid-token",
        "plan-forbids",
        "queue-full",
        "deadline-too-short",
        "no-owner",
        "no-primary",
        "primary-replaced",
        "history-discarded",
        "too-old",
        "draining",
        "connection-limit",
        "upstream-unreachable",
        "upstream-refused",
        "statement-failed",
        "retry-budget-spent",
        "deadline-passed",
        "connection-lost",
        "term-not-confirmed",
        "not-durable-in-time",
};
static_assert(reasonNames.size() == reasonCount);

} // namespace

const char *toString(Access access)
{
    return accessNames[static_cast<std::size_t>(access)];
}

const char *toString(WorkLength length)
{
    return lengthNames[static_cast<std::size_t>(length)];
}

const char *toString(Outcome outcome)
{
    return outcomeNames[static_cast<std::size_t>(outcome)];
}

const char *toString(Reason reason)
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

std::optional<Access> accessFromString(std::string_view text)
{
    return detail::enumFromName<Access>(accessNames, text);
}

std::optional<WorkLength> workLengthFromString(std::string_view text)
{
    return detail::enumFromName<WorkLength>(lengthNames, text);
}

std::optional<Outcome> outcomeFromString(std::string_view text)
{
    return detail::enumFromName<Outcome>(outcomeNames, text);
}

std::optional<Reason> reasonFromString(std::string_view text)
{
    return detail::enumFromName<Reason>(reasonNames, text);
}

} // namespace fescuespring
