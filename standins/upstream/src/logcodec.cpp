#include "logcodec.h"

#include "net/http.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace json = boost::json;

namespace fescuespring {

namespace {

constexpr std::chrono::milliseconds maximumWait{10000};

std::uint64_t numberParameter(const std::string &target, const std::string &name)
{
    const std::string text = queryValue(target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

json::array pointValue(const LogPoint &point)
{
    return {point.term.value(), point.position.value()};
}

json::object entryValue(const LogEntry &entry)
{
    json::object value{{"term", entry.term.value()}};
    json::array effects;
    for (const Effect &effect : entry.effects)
        effects.push_back(json::array{effect.key, effect.value});
    value["effects"] = std::move(effects);
    if (entry.record)
        value["record"] = json::array{entry.record->id.value(), entry.record->result};
    return value;
}

// The functions below throw what Boost.JSON throws where a value is not of the form above.
LogPoint pointOf(const json::value &value)
{
    const json::array &pair = value.as_array();
    return {Term(pair.at(0).to_number<std::uint64_t>()),
            LogPosition(pair.at(1).to_number<std::uint64_t>())};
}

std::string textOf(const json::value &value)
{
    return json::value_to<std::string>(value);
}

LogEntry entryOf(const json::value &value)
{
    const json::object &object = value.as_object();
    LogEntry entry{.term = Term(object.at("term").to_number<std::uint64_t>()),
                   .effects = {},
                   .record = std::nullopt};
    for (const json::value &effect : object.at("effects").as_array())
        entry.effects.push_back({textOf(effect.as_array().at(0)), textOf(effect.as_array().at(1))});
    if (const json::value *record = object.if_contains("record"))
        entry.record = RequestRecord{RequestId(textOf(record->as_array().at(0))),
                                     textOf(record->as_array().at(1))};
    return entry;
}

LogBatch batchOf(const json::object &object)
{
    const auto outcome = logOutcomeFromString(textOf(object.at("outcome")));
    LogBatch batch{.outcome = outcome.value_or(LogOutcome::Refused),
                   .term = Term(object.at("term").to_number<std::uint64_t>()),
                   .after = pointOf(object.at("after")),
                   .entries = {},
                   .history = {},
                   .tip = pointOf(object.at("tip")),
                   .waited = Duration(object.at("waitedUs").to_number<std::int64_t>())};
    for (const json::value &entry : object.at("entries").as_array())
        batch.entries.push_back(entryOf(entry));
    for (const json::value &step : object.at("history").as_array()) {
        const LogPoint start = pointOf(step);
        batch.history.push_back({start.term, start.position});
    }
    return batch;
}

} // namespace

std::string logTarget(const LogRequest &request, std::chrono::milliseconds wait)
{
    return "/v1/log?from=" + percentEncode(request.from.value())
           + "&term=" + std::to_string(request.term.value())
           + "&after=" + std::to_string(request.after.position.value()) + "&afterTerm="
           + std::to_string(request.after.term.value()) + "&waitMs=" + std::to_string(wait.count());
}

LogRequest logRequestOf(const std::string &target)
{
    return {.from = DatabaseId(queryValue(target, "from")),
            .term = Term(numberParameter(target, "term")),
            .after = {Term(numberParameter(target, "afterTerm")),
                      LogPosition(numberParameter(target, "after"))}};
}

std::chrono::milliseconds logWaitOf(const std::string &target)
{
    const auto limit = static_cast<std::uint64_t>(maximumWait.count());
    return std::chrono::milliseconds(std::min(numberParameter(target, "waitMs"), limit));
}

std::string encodeLogBatch(const LogBatch &batch)
{
    json::array entries;
    for (const LogEntry &entry : batch.entries)
        entries.push_back(entryValue(entry));
    json::array history;
    for (const TermStart &step : batch.history)
        history.push_back(pointValue({step.term, step.start}));
    return json::serialize(json::object{{"outcome", toString(batch.outcome)},
                                        {"term", batch.term.value()},
                                        {"after", pointValue(batch.after)},
                                        {"entries", std::move(entries)},
                                        {"history", std::move(history)},
                                        {"tip", pointValue(batch.tip)},
                                        {"waitedUs", batch.waited.count()}});
}

Result<LogBatch> decodeLogBatch(const std::string &text)
{
    try {
        return batchOf(json::parse(text).as_object());
    } catch (const std::exception &) {
        return Error{ErrorCode::Malformed, "no log batch"};
    }
}

} // namespace fescuespring
