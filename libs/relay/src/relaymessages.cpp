#include "relay/relaymessages.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace fescuespring {

namespace {

// Numbers of the enumerators stand on the wire; VMs of one installation run one version.
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

// Reads fields of one object; remembers the first that is missing or of another type.
class Reader
{
public:
    // Null, and any value that is no object, has no fields. The value must outlive the reader.
    explicit Reader(const json::value *value)
        : m_fields(value ? value->if_object() : nullptr)
    {
        if (!m_fields)
            m_bad = "(object)";
    }

    const json::value *find(std::string_view name) const
    {
        return m_fields ? m_fields->if_contains(name) : nullptr;
    }

    std::int64_t whole(std::string_view name, std::int64_t most = INT64_MAX)
    {
        const json::value *value = find(name);
        if (value && value->is_int64() && value->get_int64() >= 0 && value->get_int64() <= most)
            return value->get_int64();
        refuse(name);
        return 0;
    }

    template <typename Enum>
    Enum choice(std::string_view name, Enum last)
    {
        return static_cast<Enum>(whole(name, number(last)));
    }

    std::string text(std::string_view name)
    {
        const json::value *value = find(name);
        if (value && value->is_string())
            return std::string(value->get_string());
        refuse(name);
        return {};
    }

    LogPoint point(std::string_view name)
    {
        const json::value *value = find(name);
        const json::array *parts = value ? value->if_array() : nullptr;
        const bool isWhole =
                parts && parts->size() == 2 && parts->at(0).is_int64() && parts->at(1).is_int64();
        if (!isWhole) {
            refuse(name);
            return {};
        }
        return {Term(static_cast<std::uint64_t>(parts->at(0).get_int64())),
                LogPosition(static_cast<std::uint64_t>(parts->at(1).get_int64()))};
    }

    std::optional<LogPoint> optionalPoint(std::string_view name)
    {
        return find(name) ? std::optional(point(name)) : std::nullopt;
    }

    void refuse(std::string_view name)
    {
        if (m_bad.empty())
            m_bad = name;
    }

    bool isGood() const
    {
        return m_bad.empty();
    }

    Error error() const
    {
        return {.code = ErrorCode::Malformed, .message = "unreadable message", .field = m_bad};
    }

private:
    const json::object *m_fields;
    std::string m_bad;
};

Statement decodeStatement(Reader &outer, std::string_view name)
{
    Reader fields(outer.find(name));
    Statement statement{.kind = fields.choice("kind", StatementKind::Demote),
                        .name = fields.text("name"),
                        .access = fields.choice("access", StatementAccess::Write),
                        .argument = fields.text("argument"),
                        .term = Term(static_cast<std::uint64_t>(fields.whole("term")))};
    if (!fields.isGood())
        outer.refuse(name);
    return statement;
}

UpstreamStatus decodeStatus(Reader &outer, const json::value *value)
{
    Reader fields(value);
    UpstreamStatus status{.role = fields.choice("role", Role::Replica),
                          .term = Term(static_cast<std::uint64_t>(fields.whole("term"))),
                          .received = fields.point("received"),
                          .heldTerm = Term(static_cast<std::uint64_t>(fields.whole("held")))};
    if (!fields.isGood())
        outer.refuse("status");
    return status;
}

StatementReply decodeReply(Reader &outer, const json::value *value)
{
    Reader fields(value);
    StatementReply reply{.failure = fields.choice("failure", StatementFailure::InDoubt),
                         .message = fields.text("message"),
                         .signature = fields.text("signature"),
                         .phase = fields.choice("phase", SessionPhase::Failed),
                         .position = fields.optionalPoint("position")};
    const json::value *rows = fields.find("rows");
    if (!rows || !rows->is_array())
        fields.refuse("rows");
    else {
        for (const json::value &row : rows->get_array()) {
            if (row.is_string())
                reply.rows.emplace_back(row.get_string());
            else
                fields.refuse("rows");
        }
    }
    if (const json::value *status = fields.find("status"))
        reply.status = decodeStatus(fields, status);
    if (!fields.isGood())
        outer.refuse("reply");
    return reply;
}

void decodeValues(Reader &fields, RelayMessage &message)
{
    const json::value *values = fields.find("values");
    message.hasValues = values != nullptr;
    if (!values)
        return;
    if (!values->is_object()) {
        fields.refuse("values");
        return;
    }
    for (const auto &field : values->get_object()) {
        if (field.value().is_string())
            message.values[std::string(field.key())] = field.value().get_string();
        else
            fields.refuse("values");
    }
}

void decodeRun(Reader &fields, RelayMessage &message)
{
    message.database = DatabaseId(fields.text("database"));
    message.priority = static_cast<std::uint32_t>(fields.whole("priority", UINT32_MAX));
    message.timeout = Duration(fields.whole("patienceUs"));
    message.command.id = RequestId(fields.text("id"));
    message.command.after = fields.optionalPoint("after");
    message.command.statement = decodeStatement(fields, "statement");
    decodeValues(fields, message);
    if (const json::value *prepared = fields.find("prepared")) {
        Reader inner(prepared);
        message.prepared = PreparedStatement{inner.choice("access", StatementAccess::Write),
                                             inner.text("shape")};
        if (!inner.isGood())
            fields.refuse("prepared");
    }
    if (fields.find("begin"))
        message.begin = fields.choice("begin", StatementKind::BeginReadOnly);
    message.beginAfter = fields.optionalPoint("beginAfter");
}

json::object encodeRun(const RelayMessage &message)
{
    json::object fields{{"database", message.database.value()},
                        {"priority", message.priority},
                        {"patienceUs", message.timeout.count()},
                        {"id", message.command.id.value()},
                        {"statement", encodeStatement(message.command.statement)}};
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
    }
    fields["is"] = number(message.kind);
    fields["lease"] = message.lease;
    return json::serialize(fields) + '\n';
}

Result<RelayMessage> decodeRelayMessage(std::string_view line)
{
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    Reader fields(error ? nullptr : &value);
    RelayMessage message{.kind = fields.choice("is", RelayMessage::Kind::Pong),
                         .lease = static_cast<std::uint64_t>(fields.whole("lease"))};
    if (fields.isGood() && message.kind == RelayMessage::Kind::Run)
        decodeRun(fields, message);
    if (fields.isGood() && message.kind == RelayMessage::Kind::Outcome) {
        message.outcome.end = fields.choice("end", LinkEnd::Lost);
        message.outcome.reply = decodeReply(fields, fields.find("reply"));
        message.floor = fields.optionalPoint("floor");
        if (message.floor)
            message.floorAge = Duration(fields.whole("floorAgeUs"));
    }
    if (!fields.isGood())
        return fields.error();
    return message;
}

} // namespace fescuespring
