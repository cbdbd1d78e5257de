#include "allowancecodec.h"

#include <boost/json.hpp>

#include <cmath>

namespace json = boost::json;

namespace fescuespring::detail {

namespace {

// Reads optional fields of one object.
class OptionalFields
{
public:
    explicit OptionalFields(const json::object &fields)
        : m_fields(fields)
    {}

    std::int64_t integer(std::string_view name, std::int64_t maximum)
    {
        const json::value *value = m_fields.if_contains(name);
        if (!value)
            return 0;
        if (value->is_int64() && value->get_int64() >= 0 && value->get_int64() <= maximum)
            return value->get_int64();
        m_isValid = false;
        return 0;
    }

    double fraction(std::string_view name)
    {
        const json::value *value = m_fields.if_contains(name);
        if (!value)
            return 0;
        const double number = value->is_double()  ? value->get_double()
                              : value->is_int64() ? static_cast<double>(value->get_int64())
                                                  : -1;
        // Rounding may bring the sum of all loans above 1 by a little.
        constexpr double maximum = 2;
        if (std::isfinite(number) && number >= 0 && number <= maximum)
            return number;
        m_isValid = false;
        return 0;
    }

    template <typename Id>
    Id id(std::string_view name)
    {
        const json::value *value = m_fields.if_contains(name);
        if (!value)
            return {};
        if (value->is_string())
            return Id(std::string(value->get_string()));
        m_isValid = false;
        return {};
    }

    Duration duration(std::string_view name)
    {
        constexpr Duration maximum = std::chrono::minutes(1);
        return Duration(integer(name, maximum.count()));
    }

    const json::value *find(std::string_view name) const
    {
        return m_fields.if_contains(name);
    }
    void reject()
    {
        m_isValid = false;
    }
    bool isValid() const
    {
        return m_isValid;
    }

private:
    const json::object &m_fields;
    bool m_isValid = true;
};

std::vector<LentNote> decodeNotes(OptionalFields &outer)
{
    std::vector<LentNote> notes;
    const json::value *list = outer.find("lent");
    if (!list)
        return notes;
    if (!list->is_array()) {
        outer.reject();
        return notes;
    }
    for (const json::value &entry : list->get_array()) {
        if (!entry.is_object()) {
            outer.reject();
            return notes;
        }
        OptionalFields fields(entry.get_object());
        notes.push_back({.customer = fields.id<CustomerId>("customer"),
                         .fraction = fields.fraction("fraction"),
                         .remaining = fields.duration("remainingUs")});
        if (!fields.isValid())
            outer.reject();
    }
    return notes;
}

} // namespace

json::object encodeAllowanceRequest(const AllowanceRequest &request)
{
    json::object fields{{"ask", static_cast<std::int64_t>(request.kind)},
                        {"from", request.from.value()}};
    if (!request.customer.isEmpty())
        fields["customer"] = request.customer.value();
    if (request.kind == AllowanceRequest::Kind::Tokens) {
        fields["tokens"] = request.tokens;
        if (request.returned > 0) {
            fields["returned"] = request.returned;
            fields["returnedTo"] = request.returnedTo.value();
        }
        if (request.isForwarded)
            fields["forwarded"] = 1;
    }
    if (request.kind == AllowanceRequest::Kind::Borrow) {
        fields["fraction"] = request.fraction;
        fields["held"] = request.held;
        fields["serial"] = request.serial;
    }
    if (request.isCounting)
        fields["counting"] = 1;
    if (!request.about.isEmpty())
        fields["about"] = request.about.value();
    json::array lent;
    for (const LentNote &note : request.lent) {
        lent.push_back(json::object{{"customer", note.customer.value()},
                                    {"fraction", note.fraction},
                                    {"remainingUs", note.remaining.count()}});
    }
    if (!lent.empty())
        fields["lent"] = std::move(lent);
    return fields;
}

json::object encodeAllowanceAnswer(const AllowanceAnswer &answer)
{
    json::object fields;
    if (answer.isCounting)
        fields["counting"] = 1;
    if (!answer.granter.isEmpty())
        fields["granter"] = answer.granter.value();
    if (answer.tokens > 0)
        fields["tokens"] = answer.tokens;
    if (answer.retryAfter > Duration(0))
        fields["retryUs"] = answer.retryAfter.count();
    if (answer.fraction > 0)
        fields["fraction"] = answer.fraction;
    if (answer.countingAge)
        fields["countingAgeUs"] = answer.countingAge->count();
    return fields;
}

std::optional<AllowanceRequest> decodeAllowanceRequest(const json::object &object)
{
    OptionalFields fields(object);
    const auto last = static_cast<std::int64_t>(AllowanceRequest::Kind::Hello);
    AllowanceRequest request{
            .kind = static_cast<AllowanceRequest::Kind>(fields.integer("ask", last)),
            .from = fields.id<VmId>("from"),
            .customer = fields.id<CustomerId>("customer"),
            .tokens = static_cast<std::uint32_t>(fields.integer("tokens", UINT32_MAX)),
            .returned = static_cast<std::uint32_t>(fields.integer("returned", UINT32_MAX)),
            .returnedTo = fields.id<VmId>("returnedTo"),
            .isForwarded = fields.integer("forwarded", 1) == 1,
            .fraction = fields.fraction("fraction"),
            .held = fields.fraction("held"),
            .serial = static_cast<std::uint64_t>(fields.integer("serial", INT64_MAX)),
            .isCounting = fields.integer("counting", 1) == 1,
            .about = fields.id<VmId>("about")};
    request.lent = decodeNotes(fields);
    return fields.isValid() ? std::optional(request) : std::nullopt;
}

std::optional<AllowanceAnswer> decodeAllowanceAnswer(const json::object &object)
{
    OptionalFields fields(object);
    AllowanceAnswer answer{.isCounting = fields.integer("counting", 1) == 1,
                           .granter = fields.id<VmId>("granter"),
                           .tokens =
                                   static_cast<std::uint32_t>(fields.integer("tokens", UINT32_MAX)),
                           .retryAfter = fields.duration("retryUs"),
                           .fraction = fields.fraction("fraction")};
    if (object.contains("countingAgeUs"))
        answer.countingAge = Duration(fields.integer("countingAgeUs", INT64_MAX));
    return fields.isValid() ? std::optional(answer) : std::nullopt;
}

} // namespace fescuespring::detail
