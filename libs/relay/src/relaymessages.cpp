#include "relay/relaymessages.h"

#include "allowancecodec.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fescuespring {

namespace {

// Enumerators are transmitted as their numbers, because all VMs of an installation run the same
// version.
template <typename Enum>
std::int64_t number(Enum value)
{
    return static_cast<std::int64_t>(value);
}

json::array encodePoint(LogPoint point)
{
    return {point.term.value(), point.position.value()};
}

json::object encodeStatement(const Statement &statement)
{
    return {{"kind", number(statement.kind)},
            {"name", statement.name},
            {"access", number(statement.access)},
            {"argument", statement.argument},
            {"term", statement.term.value()}};
}

json::object encodeReply(const StatementReply &reply)
{
    json::array rows;
    for (const std::string &row : reply.rows)
        rows.emplace_back(row);
    json::object fields{{"failure", number(reply.failure)},
                        {"message", reply.message},
                        {"rows", std::move(rows)},
                        {"signature", reply.signature},
                        {"phase", number(reply.phase)}};
    if (reply.position)
        fields["position"] = encodePoint(*reply.position);
    if (reply.status) {
        fields["status"] = json::object{{"role", number(reply.status->role)},
                                        {"term", reply.status->term.value()},
                                        {"received", encodePoint(reply.status->received)},
                                        {"held", reply.status->heldTerm.value()}};
    }
    return fields;
}

// Reads the fields of one object and records the first that is missing or of the wrong type.
class Reader
{
public:
    // A null pointer or a value that is not an object has no fields. The value must outlive the
    // reader.
    explicit Reader(const json::value *value)
        : m_fields(value ? value->if_object() : nullptr)
    {
        if (!m_fields)
            m_invalidField = "(object)";
    }

    const json::value *find(std::string_view name) const
    {
        return m_fields ? m_fields->if_contains(name) : nullptr;
    }

    std::int64_t integer(std::string_view name, std::int64_t maximum = INT64_MAX)
    {
        const json::value *value = find(name);
        if (value && value->is_int64() && value->get_int64() >= 0 && value->get_int64() <= maximum)
            return value->get_int64();
        reject(name);
        return 0;
    }

    template <typename Enum>
    Enum enumerator(std::string_view name, Enum last)
    {
        return static_cast<Enum>(integer(name, number(last)));
    }

    std::string text(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_string())
            return std::string(value->get_string());
        reject(name);
        return {};
    }

    LogPoint point(std::string_view name)
    {
        const json::value *value = find(name);
        const json::array *parts = value ? value->if_array() : nullptr;
        const bool isPoint =
                parts && parts->size() == 2 && parts->at(0).is_int64() && parts->at(1).is_int64();
        if (!isPoint) {
            reject(name);
            return {};
        }
        return {Term(static_cast<std::uint64_t>(parts->at(0).get_int64())),
                LogPosition(static_cast<std::uint64_t>(parts->at(1).get_int64()))};
    }

    std::optional<LogPoint> optionalPoint(std::string_view name)
    {
        return find(name) ? std::optional(point(name)) : std::nullopt;
    }

    void reject(std::string_view name)
    {
        if (m_invalidField.empty())
            m_invalidField = name;
    }

    bool isValid() const
    {
        return m_invalidField.empty();
    }

    Error error() const
    {
        return {.code = ErrorCode::Malformed,
                .message = "malformed relay message",
                .field = m_invalidField};
    }

private:
    const json::object *m_fields;
    std::string m_invalidField;
};

Statement decodeStatement(Reader &outer, std::string_view name)
{
    Reader fields(outer.find(name));
    Statement statement{.kind = fields.enumerator("kind", StatementKind::Demote),
                        .name = fields.text("name"),
                        .access = fields.enumerator("access", StatementAccess::Write),
                        .argument = fields.text("argument"),
                        .term = Term(static_cast<std::uint64_t>(fields.integer("term")))};
    if (!fields.isValid())
        outer.reject(name);
    return statement;
}

UpstreamStatus decodeStatus(Reader &outer, const json::value *value)
{
    Reader fields(value);
    UpstreamStatus status{.role = fields.enumerator("role", Role::Replica),
                          .term = Term(static_cast<std::uint64_t>(fields.integer("term"))),
                          .received = fields.point("received"),
                          .heldTerm = Term(static_cast<std::uint64_t>(fields.integer("held")))};
    if (!fields.isValid())
        outer.reject("status");
    return status;
}

StatementReply decodeReply(Reader &outer, const json::value *value)
{
    Reader fields(value);
    StatementReply reply{.failure = fields.enumerator("failure", StatementFailure::Unauthorized),
                         .message = fields.text("message"),
                         .signature = fields.text("signature"),
                         .phase = fields.enumerator("phase", SessionPhase::Failed),
                         .position = fields.optionalPoint("position")};
    const json::value *rows = fields.find("rows");
    if (!rows || !rows->is_array())
        fields.reject("rows");
    else {
        for (const json::value &row : rows->get_array()) {
            if (row.is_string())
                reply.rows.emplace_back(row.get_string());
            else
                fields.reject("rows");
        }
    }
    if (const json::value *status = fields.find("status"))
        reply.status = decodeStatus(fields, status);
    if (!fields.isValid())
        outer.reject("reply");
    return reply;
}

void decodeValues(Reader &fields, RelayMessage &message)
{
    const json::value *values = fields.find("values");
    message.hasValues = values != nullptr;
    if (!values)
        return;
    if (!values->is_object()) {
        fields.reject("values");
        return;
    }
    for (const auto &field : values->get_object()) {
        if (field.value().is_string())
            message.values[std::string(field.key())] = field.value().get_string();
        else
            fields.reject("values");
    }
}

void decodeRun(Reader &fields, RelayMessage &message)
{
    message.database = DatabaseId(fields.text("database"));
    if (fields.find("customer"))
        message.customer = CustomerId(fields.text("customer"));
    if (fields.find("work"))
        message.work = WorkKind(fields.text("work"));
    if (fields.find("usefulUs")) {
        message.limits = StartLimits{.useful = Duration(fields.integer("usefulUs")),
                                     .hold = Duration(fields.integer("holdUs"))};
    }
    message.priority = static_cast<std::uint32_t>(fields.integer("priority", UINT32_MAX));
    if (fields.find("key")) {
        message.key.digest = KeyDigest(fields.text("key"));
        message.key.configuration = static_cast<std::uint64_t>(fields.integer("configuration"));
    }
    message.timeout = Duration(fields.integer("patienceUs"));
    message.command.id = RequestId(fields.text("id"));
    message.command.after = fields.optionalPoint("after");
    message.command.statement = decodeStatement(fields, "statement");
    decodeValues(fields, message);
    if (const json::value *prepared = fields.find("prepared")) {
        Reader inner(prepared);
        message.prepared = PreparedStatement{inner.enumerator("access", StatementAccess::Write),
                                             inner.text("shape")};
        if (!inner.isValid())
            fields.reject("prepared");
    }
    if (fields.find("begin"))
        message.begin = fields.enumerator("begin", StatementKind::BeginReadOnly);
    message.beginAfter = fields.optionalPoint("beginAfter");
}

template <typename Decoded>
void decodeAllowance(Reader &fields, std::optional<Decoded> (*decode)(const json::object &),
                     Decoded &decoded)
{
    const json::value *value = fields.find("allowance");
    std::optional<Decoded> result =
            value && value->is_object() ? decode(value->get_object()) : std::nullopt;
    if (result)
        decoded = std::move(*result);
    else
        fields.reject("allowance");
}

json::object encodeRun(const RelayMessage &message)
{
    json::object fields{{"database", message.database.value()},
                        {"priority", message.priority},
                        {"patienceUs", message.timeout.count()},
                        {"id", message.command.id.value()},
                        {"statement", encodeStatement(message.command.statement)}};
    if (!message.customer.isEmpty())
        fields["customer"] = message.customer.value();
    if (!message.key.digest.isEmpty()) {
        fields["key"] = message.key.digest.value();
        fields["configuration"] = message.key.configuration;
    }
    if (!message.work.isEmpty())
        fields["work"] = message.work.value();
    if (message.limits) {
        fields["usefulUs"] = message.limits->useful.count();
        fields["holdUs"] = message.limits->hold.count();
    }
    if (message.command.after)
        fields["after"] = encodePoint(*message.command.after);
    if (message.hasValues) {
        json::object values;
        for (const auto &[name, value] : message.values)
            values[name] = value;
        fields["values"] = std::move(values);
    }
    if (message.prepared) {
        fields["prepared"] = json::object{{"access", number(message.prepared->access)},
                                          {"shape", message.prepared->shape}};
    }
    if (message.begin)
        fields["begin"] = number(*message.begin);
    if (message.beginAfter)
        fields["beginAfter"] = encodePoint(*message.beginAfter);
    return fields;
}

} // namespace

std::string encodeRelayMessage(const RelayMessage &message)
{
    json::object fields;
    if (message.kind == RelayMessage::Kind::Run)
        fields = encodeRun(message);
    if (message.kind == RelayMessage::Kind::Outcome) {
        fields["end"] = number(message.outcome.end);
        fields["reply"] = encodeReply(message.outcome.reply);
        if (message.floor) {
            fields["floor"] = encodePoint(*message.floor);
            fields["floorAgeUs"] = message.floorAge.count();
        }
        if (message.runTime)
            fields["runTimeUs"] = message.runTime->count();
        if (message.outcome.load) {
            fields["waitUs"] = message.outcome.load->wait.count();
            fields["serviceUs"] = message.outcome.load->service.count();
        }
    }
    if (message.kind == RelayMessage::Kind::AllowanceRequest)
        fields["allowance"] = detail::encodeAllowanceRequest(message.allowanceRequest);
    if (message.kind == RelayMessage::Kind::AllowanceAnswer)
        fields["allowance"] = detail::encodeAllowanceAnswer(message.allowanceAnswer);
    fields["is"] = number(message.kind);
    fields["lease"] = message.lease;
    return json::serialize(fields) + '\n';
}

Result<RelayMessage> decodeRelayMessage(std::string_view line)
{
    // Texts of callers and databases need not be UTF-8, and are forwarded as they are.
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    boost::system::error_code error;
    const json::value value = json::parse(line, error, {}, options);
    Reader fields(error ? nullptr : &value);
    RelayMessage message{.kind = fields.enumerator("is", RelayMessage::Kind::AllowanceAnswer),
                         .lease = static_cast<std::uint64_t>(fields.integer("lease"))};
    if (fields.isValid() && message.kind == RelayMessage::Kind::Run)
        decodeRun(fields, message);
    if (fields.isValid() && message.kind == RelayMessage::Kind::Outcome) {
        message.outcome.end = fields.enumerator("end", LinkEnd::Lost);
        message.outcome.reply = decodeReply(fields, fields.find("reply"));
        message.floor = fields.optionalPoint("floor");
        if (message.floor)
            message.floorAge = Duration(fields.integer("floorAgeUs"));
        if (fields.find("runTimeUs"))
            message.runTime = Duration(fields.integer("runTimeUs"));
        if (fields.find("waitUs")) {
            message.outcome.load = ExpectedLoad{.wait = Duration(fields.integer("waitUs")),
                                                .service = Duration(fields.integer("serviceUs"))};
        }
    }
    if (fields.isValid() && message.kind == RelayMessage::Kind::AllowanceRequest)
        decodeAllowance(fields, detail::decodeAllowanceRequest, message.allowanceRequest);
    if (fields.isValid() && message.kind == RelayMessage::Kind::AllowanceAnswer)
        decodeAllowance(fields, detail::decodeAllowanceAnswer, message.allowanceAnswer);
    if (!fields.isValid())
        return fields.error();
    return message;
}

} // namespace fescuespring
