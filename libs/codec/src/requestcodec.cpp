#include "codec/requestcodec.h"

#include "document.h"

namespace fescuespring {

namespace json = boost::json;
using detail::FieldReader;
using detail::text;
using detail::textArray;

namespace {

template <typename Tag>
void readName(FieldReader &reader, std::string_view field, Name<Tag> &target)
{
    reader.required(field, target);
    reader.expect(!target.isEmpty(), field, "must not be empty");
    reader.expect(target.value().size() <= maximumNameBytes, field,
                  "must be at most " + std::to_string(maximumNameBytes) + " bytes");
}

void readStatements(FieldReader &reader, std::vector<std::string> &target)
{
    reader.required("statements", target);
    reader.expect(!target.empty(), "statements", "must contain at least one statement");
    reader.expect(target.size() <= maximumStatements, "statements",
                  "must contain at most " + std::to_string(maximumStatements) + " statements");
}

void readDeadline(FieldReader &reader, std::chrono::milliseconds &target)
{
    reader.required("deadlineMs", target);
    reader.expect(target >= minimumDeadline && target <= maximumDeadline, "deadlineMs",
                  "must be from " + std::to_string(minimumDeadline.count()) + " to "
                          + std::to_string(maximumDeadline.count()));
}

void readMaximumAge(FieldReader &reader, CallerRequest &request)
{
    reader.optional("maximumAgeMs", request.maximumAge);
    if (!request.maximumAge)
        return;
    reader.expect(request.access == Access::Read, "maximumAgeMs", "is not allowed for writes");
    reader.expect(*request.maximumAge <= maximumRequestAge, "maximumAgeMs",
                  "must be at most " + std::to_string(maximumRequestAge.count()));
}

void readRequest(FieldReader &reader, CallerRequest &request)
{
    readName(reader, "customer", request.customer);
    readName(reader, "session", request.session);
    readName(reader, "group", request.group);
    reader.required("access", request.access, accessFromString);
    readStatements(reader, request.statements);
    readName(reader, "id", request.id);
    reader.optional("idempotent", request.idempotent);
    readDeadline(reader, request.deadline);
    readMaximumAge(reader, request);
    reader.optional("length", request.length, workLengthFromString);
    reader.optional("token", request.token);
}

json::object requestObject(const CallerRequest &request)
{
    json::object object{
            {"customer", text(request.customer)},
            {"session", text(request.session)},
            {"group", text(request.group)},
            {"access", toString(request.access)},
            {"statements", textArray(request.statements)},
            {"id", text(request.id)},
            {"idempotent", request.idempotent},
            {"deadlineMs", request.deadline.count()},
            {"length", toString(request.length)},
            {"token", text(request.token)},
    };
    if (request.maximumAge)
        object["maximumAgeMs"] = request.maximumAge->count();
    return object;
}

} // namespace

Result<CallerRequest> decodeCallerRequest(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<CallerRequest>(text, limits, [](auto &reader, auto &request) {
        readRequest(reader, request);
        reader.refuseUnknownFields();
    });
}

std::string encodeCallerRequest(const CallerRequest &request)
{
    return detail::encodeDocument(requestObject(request));
}

Result<CallerAnswer> decodeCallerAnswer(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<CallerAnswer>(text, limits, [](auto &reader, auto &answer) {
        reader.required("requestId", answer.requestId);
        reader.required("outcome", answer.outcome, outcomeFromString);
        reader.required("reason", answer.reason, reasonFromString);
        reader.required("results", answer.results);
        reader.required("token", answer.token);
        reader.optional("retryAfterMs", answer.retryAfter);
        reader.optional("database", answer.database);
        reader.optional("byReplica", answer.byReplica);
    });
}

std::string encodeCallerAnswer(const CallerAnswer &answer)
{
    return detail::encodeDocument({
            {"requestId", text(answer.requestId)},
            {"outcome", toString(answer.outcome)},
            {"reason", toString(answer.reason)},
            {"results", textArray(answer.results)},
            {"token", text(answer.token)},
            {"retryAfterMs", answer.retryAfter.count()},
            {"database", text(answer.database)},
            {"byReplica", answer.byReplica},
    });
}

Result<ForwardedRequest> decodeForwardedRequest(std::string_view text, const DecodeLimits &limits)
{
    return detail::decodeDocument<ForwardedRequest>(text, limits, [](auto &reader, auto &forward) {
        readRequest(reader, forward.request);
        reader.required("hop", forward.hop);
        reader.expect(forward.hop >= 1 && forward.hop <= maximumHops, "hop",
                      "must be from 1 to " + std::to_string(maximumHops));
    });
}

std::string encodeForwardedRequest(const ForwardedRequest &forwarded)
{
    json::object object = requestObject(forwarded.request);
    object["hop"] = forwarded.hop;
    return detail::encodeDocument(object);
}

} // namespace fescuespring
