#include "codec/upstreamcodec.h"

#include "document.h"

namespace fescuespring {

namespace json = boost::json;
using detail::FieldReader;
using detail::text;

namespace {

json::object pointObject(const LogPoint &point)
{
    return {{"term", point.term.value()}, {"position", point.position.value()}};
}

json::object stepObject(const TermStart &step)
{
    return {{"term", step.term.value()}, {"start", step.start.value()}};
}

bool increases(const TermStart &before, const TermStart &after)
{
    return before.term.value() < after.term.value() && before.start.value() < after.start.value();
}

void readHistory(FieldReader &reader, TermHistory &history)
{
    reader.required("history", history);
    for (std::size_t i = 1; i < history.size(); ++i) {
        reader.expect(increases(history[i - 1], history[i]), "history",
                      "must increase strictly at [" + std::to_string(i) + "]");
    }
}

void readOutcome(FieldReader &reader, StatementAnswer &answer)
{
    reader.required("outcome", answer.outcome, callOutcomeFromString);
    reader.optional("refusal", answer.refusal, callRefusalFromString);
    const bool refused = answer.outcome == CallOutcome::Refused;
    reader.expect(refused == (answer.refusal != CallRefusal::None), "refusal",
                  refused ? "is required for a refused call" : "is allowed for refused calls only");
}

void readPoint(FieldReader &reader, StatementAnswer &answer)
{
    if (answer.outcome == CallOutcome::Refused) {
        reader.optional("term", answer.term);
        reader.optional("point", answer.point);
        return;
    }
    reader.required("term", answer.term);
    reader.required("point", answer.point);
}

template <typename Call>
Result<Call> decodeTermCall(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<Call>(
            text, limits, [](auto &reader, auto &call) { reader.required("term", call.term); });
}

template <typename Call>
std::string encodeTermCall(const Call &call)
{
    return detail::encodeDocument({{"term", call.term.value()}});
}

} // namespace

Result<DatabaseStatus> decodeDatabaseStatus(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<DatabaseStatus>(text, limits, [](auto &reader, auto &status) {
        reader.required("database", status.database);
        reader.required("group", status.group);
        reader.required("role", status.role, roleFromString);
        reader.required("term", status.term);
        reader.required("received", status.received);
        reader.required("applied", status.applied);
        reader.required("ageMs", status.age);
        readHistory(reader, status.history);
    });
}

std::string encodeDatabaseStatus(const DatabaseStatus &status)
{
    return detail::encodeDocument({
            {"database", text(status.database)},
            {"group", text(status.group)},
            {"role", toString(status.role)},
            {"term", status.term.value()},
            {"received", pointObject(status.received)},
            {"applied", pointObject(status.applied)},
            {"ageMs", status.age.count()},
            {"history", detail::objectArray(status.history, stepObject)},
    });
}

Result<StatementCall> decodeStatementCall(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<StatementCall>(text, limits, [](auto &reader, auto &call) {
        reader.required("kind", call.kind, callKindFromString);
        reader.required("access", call.access, accessFromString);
        reader.required("term", call.term);
        reader.required("id", call.id);
        reader.required("idempotent", call.idempotent);
        reader.required("statement", call.statement);
    });
}

std::string encodeStatementCall(const StatementCall &call)
{
    return detail::encodeDocument({
            {"kind", toString(call.kind)},
            {"access", toString(call.access)},
            {"term", call.term.value()},
            {"id", text(call.id)},
            {"idempotent", call.idempotent},
            {"statement", text(call.statement)},
    });
}

Result<StatementAnswer> decodeStatementAnswer(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<StatementAnswer>(text, limits, [](auto &reader, auto &answer) {
        readOutcome(reader, answer);
        readPoint(reader, answer);
        reader.optional("result", answer.result);
        reader.optional("repeated", answer.repeated);
    });
}

std::string encodeStatementAnswer(const StatementAnswer &answer)
{
    return detail::encodeDocument({
            {"outcome", toString(answer.outcome)},
            {"refusal", toString(answer.refusal)},
            {"result", text(answer.result)},
            {"term", answer.term.value()},
            {"point", pointObject(answer.point)},
            {"repeated", answer.repeated},
    });
}

Result<StatementAnswer> decodeOpenAnswer(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<StatementAnswer>(
            text, limits, [](auto &reader, auto &answer) { readOutcome(reader, answer); });
}

std::string encodeOpenAnswer(const StatementAnswer &answer)
{
    return detail::encodeDocument({
            {"outcome", toString(answer.outcome)},
            {"refusal", toString(answer.refusal)},
    });
}

Result<FenceCall> decodeFenceCall(std::string_view text, const DecodeLimits &limits)
{
    return decodeTermCall<FenceCall>(text, limits);
}

std::string encodeFenceCall(const FenceCall &call)
{
    return encodeTermCall(call);
}

Result<PromoteCall> decodePromoteCall(std::string_view text, const DecodeLimits &limits)
{
    return decodeTermCall<PromoteCall>(text, limits);
}

std::string encodePromoteCall(const PromoteCall &call)
{
    return encodeTermCall(call);
}

Result<FollowCall> decodeFollowCall(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<FollowCall>(text, limits, [](auto &reader, auto &call) {
        reader.required("term", call.term);
        reader.required("primary", call.primary);
    });
}

std::string encodeFollowCall(const FollowCall &call)
{
    return detail::encodeDocument({
            {"term", call.term.value()},
            {"primary", detail::endpointObject(call.primary)},
    });
}

} // namespace fescuespring
